package twirp

import (
	"slices"
	"strconv"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/platform/patch"
	rpc "sardineknot.example/sardineknot/internal/rpc/changes"
)

// maxInlineBytes is the length up to which a patch is sent together with other changes. They
// must not wait for longer ones.
const maxInlineBytes = 4 << 10

// maxPackedBytes is the length up to which changes are packed. A patch has no more.
const maxPackedBytes = sardineknot.MaxStoreValueBytes

// patches makes the patches of large values, each once for all readers that have the same
// base.
type patches struct {
	mu sync.Mutex
	// made holds the patches of the versions that are kept, by key.
	made map[string]map[patchName]patch.Patch
	// digests holds the digests of these versions, by key.
	digests map[string]map[sardineknot.StoreRevision]uint64
	// packed is the last result of pack.
	packed patch.Patch
}

// patchName identifies a patch of a key.
type patchName struct {
	// revision is the one of the value that the patch makes, and base the one of the value
	// that it refers to. base has no number if there is none.
	revision, base sardineknot.StoreRevision
}

// digest returns the digest of e, which is one of versions. These are the versions of its key
// that are kept.
func (p *patches) digest(e sardineknot.StoreEntry, versions []sardineknot.StoreEntry) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.digestLocked(e, versions)
}

func (p *patches) digestLocked(e sardineknot.StoreEntry, versions []sardineknot.StoreEntry) uint64 {
	d, ok := p.digests[e.Key][e.Revision]
	if ok {
		return d
	}
	p.discardLocked(e.Key, versions)
	d = patch.Digest(e.Value)
	p.digests[e.Key][e.Revision] = d
	return d
}

// discardLocked discards what was made for versions of key that are no longer kept.
func (p *patches) discardLocked(key string, versions []sardineknot.StoreEntry) {
	if p.digests[key] == nil {
		p.digests, p.made = withKey(p.digests, key), withKey(p.made, key)
	}
	for r := range p.digests[key] {
		if !hasRevision(versions, r) {
			delete(p.digests[key], r)
		}
	}
	for n := range p.made[key] {
		if !hasRevision(versions, n.revision) {
			delete(p.made[key], n)
		}
	}
}

// hasRevision reports whether one of versions has the given revision.
func hasRevision(versions []sardineknot.StoreEntry, revision sardineknot.StoreRevision) bool {
	return slices.ContainsFunc(versions, func(v sardineknot.StoreEntry) bool { return v.Revision == revision })
}

// withKey returns m, or a new map if m is nil, with an empty map for key.
func withKey[K comparable, V any](m map[string]map[K]V, key string) map[string]map[K]V {
	if m == nil {
		m = make(map[string]map[K]V)
	}
	m[key] = make(map[K]V)
	return m
}

// find returns the patch that makes the value of e for a reader that has base, which may be
// nil, and the revision that the patch refers to. versions holds the versions of the key of e
// that are kept, e among them.
func (p *patches) find(e sardineknot.StoreEntry, base *rpc.Base, versions []sardineknot.StoreEntry) (patch.Patch, sardineknot.StoreRevision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.digestLocked(e, versions)
	b := p.baseLocked(base, versions)
	n := patchName{revision: e.Revision, base: b.Revision}
	c, ok := p.made[e.Key][n]
	if ok {
		return c, b.Revision, nil
	}
	c, err := patch.New(e.Value, b.Value)
	if err != nil {
		return patch.Patch{}, sardineknot.StoreRevision{}, err
	}
	p.made[e.Key][n] = c
	return c, b.Revision, nil
}

// pack returns entries as a compressed message. The changes of a moment are compressed once
// for all readers that get the same.
func (p *patches) pack(entries *rpc.Entries) (*rpc.Patch, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(entries)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed.Size != len(b) || p.packed.Digest != patch.Digest(b) {
		p.packed, err = patch.New(b, nil)
	}
	if err != nil {
		return nil, err
	}
	return patchMessage(p.packed, sardineknot.StoreRevision{}), nil
}

// baseLocked returns the version that base describes. Its revision has no number if that is
// not kept.
func (p *patches) baseLocked(base *rpc.Base, versions []sardineknot.StoreEntry) sardineknot.StoreEntry {
	for _, v := range versions {
		if v.Revision.Number == base.GetRevision() && p.digestLocked(v, versions) == base.GetDigest() {
			return v
		}
	}
	return sardineknot.StoreEntry{}
}

// bases lists the large values that this host has.
func (f *Feed) bases() []*rpc.Base {
	var l []*rpc.Base
	for _, e := range f.Entries.Large() {
		l = append(l, f.baseMessage(e))
	}
	return l
}

// baseMessage describes e, a version of a large value that this host has.
func (f *Feed) baseMessage(e sardineknot.StoreEntry) *rpc.Base {
	return &rpc.Base{Key: e.Key, Revision: e.Revision.Number, Digest: f.patches.digest(e, f.Entries.Versions(e.Key))}
}

// setChanges sets changes in answer, as the reader that sent request accepts them.
func (f *Feed) setChanges(answer *rpc.NextResponse, changes []sardineknot.StoreEntry, request *rpc.NextRequest) error {
	m, err := f.changesMessage(changes, request)
	if err != nil {
		return err
	}
	e := &rpc.Entries{Entries: m}
	n := proto.Size(e)
	if !request.GetAcceptsPatches() || n <= maxInlineBytes || n > maxPackedBytes {
		answer.Entries = m
		return nil
	}
	answer.Packed, err = f.patches.pack(e)
	return err
}

// changes returns the changes in answer.
func changes(answer *rpc.NextResponse) ([]*rpc.Entry, error) {
	p := answer.GetPacked()
	if p == nil {
		return answer.GetEntries(), nil
	}
	v, err := patch.Patch{Data: p.GetData(), Size: int(p.GetSize()), Digest: p.GetDigest()}.Apply(nil)
	if err != nil {
		return nil, err
	}
	var m rpc.Entries
	err = proto.Unmarshal(v, &m)
	return m.GetEntries(), errors.WithStack(err)
}

// changesMessage returns changes as the reader that sent request accepts them.
func (f *Feed) changesMessage(changes []sardineknot.StoreEntry, request *rpc.NextRequest) ([]*rpc.Entry, error) {
	l := entriesMessage(changes)
	if !request.GetAcceptsPatches() {
		return l, nil
	}
	for i, e := range changes {
		if !e.Large() {
			continue
		}
		l[i].Value = nil
		p, b, err := f.patches.find(e, baseOf(e.Key, request.GetBases()), f.Entries.Versions(e.Key))
		if err != nil {
			return nil, err
		}
		if len(p.Data) > maxInlineBytes {
			l[i].Deferred = true
			continue
		}
		l[i].Patch = patchMessage(p, b)
	}
	return l, nil
}

// patchMessage returns p, which refers to the value at the revision base.
func patchMessage(p patch.Patch, base sardineknot.StoreRevision) *rpc.Patch {
	return &rpc.Patch{Data: p.Data, BaseRevision: base.Number, Size: int64(p.Size), Digest: p.Digest}
}

// baseOf returns the element of bases for key, or nil if there is none.
func baseOf(key string, bases []*rpc.Base) *rpc.Base {
	for _, b := range bases {
		if b.GetKey() == key {
			return b
		}
	}
	return nil
}

// applyPatches returns entries with the values of those for which message, which has the same
// order, holds patches, and without those that are deferred, which it returns apart.
func (f *Feed) applyPatches(entries []sardineknot.StoreEntry, message []*rpc.Entry) (complete, deferred []sardineknot.StoreEntry, err error) {
	for i, m := range message {
		e := entries[i]
		if m.GetDeferred() {
			deferred = append(deferred, e)
			continue
		}
		p := m.GetPatch()
		if p != nil {
			e.Value, err = f.applyPatch(e, p.GetData(), p)
		}
		if err != nil {
			return nil, nil, err
		}
		complete = append(complete, e)
	}
	return complete, deferred, nil
}

// applyPatch returns the value of e that data, the frame of p, makes from the version of the
// same key that p refers to.
func (f *Feed) applyPatch(e sardineknot.StoreEntry, data []byte, p *rpc.Patch) ([]byte, error) {
	b, err := f.version(e.Key, sardineknot.StoreRevision{Era: e.Revision.Era, Number: p.GetBaseRevision()})
	if err != nil {
		return nil, err
	}
	return patch.Patch{Data: data, Size: int(p.GetSize()), Digest: p.GetDigest()}.Apply(b.Value)
}

// version returns the version of key at revision. It is empty if revision has no number.
func (f *Feed) version(key string, revision sardineknot.StoreRevision) (sardineknot.StoreEntry, error) {
	if revision.Absent() {
		return sardineknot.StoreEntry{}, nil
	}
	for _, v := range f.Entries.Versions(key) {
		if v.Revision == revision {
			return v, nil
		}
	}
	return sardineknot.StoreEntry{}, errors.WithStack(&sardineknot.UnknownError{What: "version of " + key, Name: strconv.FormatInt(revision.Number, 10)})
}
