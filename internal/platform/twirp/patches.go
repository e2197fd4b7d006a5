package twirp

import (
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/platform/patch"
	rpc "sardineknot.example/sardineknot/internal/rpc/changes"
)

// patches makes the patches of large values, each once for all readers that have the same
// base.
type patches struct {
	mu sync.Mutex
	// made holds the patches of the current values, by key.
	made map[string]*patchesOfValue
	// digests holds the digests of values, by key and revision.
	digests map[string]map[sardineknot.StoreRevision]uint64
}

// patchesOfValue holds the patches that make one version of a value.
type patchesOfValue struct {
	revision sardineknot.StoreRevision
	// byBase holds the patches by the revision of their base. That of the compressed value
	// has the number zero.
	byBase map[int64]patch.Patch
}

// digest returns the digest of e. versions holds the versions of its key that are kept.
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
	m := map[sardineknot.StoreRevision]uint64{e.Revision: patch.Digest(e.Value)}
	for _, v := range versions {
		o, ok := p.digests[e.Key][v.Revision]
		if ok {
			m[v.Revision] = o
		}
	}
	if p.digests == nil {
		p.digests = make(map[string]map[sardineknot.StoreRevision]uint64)
	}
	p.digests[e.Key] = m
	return m[e.Revision]
}

// message returns the patch that makes the value of e for a reader that has base, which may
// be nil. versions holds the versions of its key that are kept.
func (p *patches) message(e sardineknot.StoreEntry, base *rpc.Base, versions []sardineknot.StoreEntry) (*rpc.Patch, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.baseLocked(base, versions)
	m := p.made[e.Key]
	if m == nil || m.revision != e.Revision {
		m = &patchesOfValue{revision: e.Revision, byBase: make(map[int64]patch.Patch)}
	}
	c, ok := m.byBase[b.Revision.Number]
	if !ok {
		var err error
		c, err = patch.New(e.Value, b.Value)
		if err != nil {
			return nil, err
		}
		m.byBase[b.Revision.Number] = c
	}
	if p.made == nil {
		p.made = make(map[string]*patchesOfValue)
	}
	p.made[e.Key] = m
	return &rpc.Patch{Data: c.Data, BaseRevision: b.Revision.Number, Size: int64(c.Size), Digest: c.Digest}, nil
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
		d := f.patches.digest(e, f.Entries.Versions(e.Key))
		l = append(l, &rpc.Base{Key: e.Key, Revision: e.Revision.Number, Digest: d})
	}
	return l
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
		m, err := f.patches.message(e, baseOf(e.Key, request.GetBases()), f.Entries.Versions(e.Key))
		if err != nil {
			return nil, err
		}
		l[i].Value, l[i].Patch = nil, m
	}
	return l, nil
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

// applyPatches sets the values of those entries for which message, which has the same order,
// holds patches.
func (f *Feed) applyPatches(entries []sardineknot.StoreEntry, message []*rpc.Entry) ([]sardineknot.StoreEntry, error) {
	for i, m := range message {
		p := m.GetPatch()
		if p == nil {
			continue
		}
		b, err := f.base(m.GetKey(), sardineknot.StoreRevision{Era: entries[i].Revision.Era, Number: p.GetBaseRevision()})
		if err != nil {
			return nil, err
		}
		entries[i].Value, err = patch.Patch{Data: p.GetData(), Size: int(p.GetSize()), Digest: p.GetDigest()}.Apply(b)
		if err != nil {
			return nil, err
		}
	}
	return entries, nil
}

// base returns the value of key at revision, or nil if revision has no number.
func (f *Feed) base(key string, revision sardineknot.StoreRevision) ([]byte, error) {
	if revision.Absent() {
		return nil, nil
	}
	for _, v := range f.Entries.Versions(key) {
		if v.Revision == revision {
			return v.Value, nil
		}
	}
	return nil, errors.WithStack(&sardineknot.UnknownError{What: "version of " + key, Name: strconv.FormatInt(revision.Number, 10)})
}
