// Package revision holds the configuration in force on one host and decides
// which others may replace it. It has no clock and no network.
//
// A configuration replaces another only if its revision is greater. It comes
// as the stored head and the bundles that the head names, whose contents are
// checked against their hashes. Between hosts, a head can be passed on as the
// difference to one that the other host has; the hash of the whole head tells
// whether the other host has put it together correctly.
package revision

import (
	"slices"
	"strings"
	"sync"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/bundle"
	api "sardineknot.example/sardineknot/internal/rpc/configuration"
)

// maxPast bounds the earlier heads that differences can be made to.
const maxPast = 64

// Tracker holds the configuration in force. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// configuration is not nil. Its revision only grows.
	configuration *sardineknot.Configuration
	// head is the head of configuration, raw its stored form and hash the hash
	// of raw. All are zero before the first one.
	head sardineknot.ConfigurationHead
	raw  []byte
	hash string
	// bundles holds the contents that head names, and no others.
	bundles bundle.Set
	// parts holds what bundles decode to, so that a change decodes only the
	// bundles that it touches.
	parts parts
	// past holds earlier heads, latest last.
	past []earlier
	// floor is the greatest revision that a peer has told of, or zero. Smaller
	// ones do not come in force.
	floor sardineknot.Revision
	// changed is closed and replaced at every change.
	changed chan struct{}
}

// parts holds decoded bundles by the hash of their content.
type parts map[string]*sardineknot.Configuration

type earlier struct {
	hash    string
	bundles []sardineknot.BundleReference
}

var _ sardineknot.ConfigurationSource = (*Tracker)(nil)

// NewTracker returns a tracker with the empty configuration.
func NewTracker() *Tracker {
	return &Tracker{
		configuration: &sardineknot.Configuration{},
		bundles:       make(bundle.Set),
		changed:       make(chan struct{}),
	}
}

// Current implements sardineknot.ConfigurationSource.
func (t *Tracker) Current() *sardineknot.Configuration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.configuration
}

// Changed implements sardineknot.ConfigurationSource.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Check decides about the stored head raw. It returns the references of the
// bundles that it names and that are not held. replaces reports whether it is
// newer than the head in force. Check fails with an OlderConfigurationError if
// the head is older, or has the same revision and another content. Empty raw
// is a head of revision zero.
func (t *Tracker) Check(raw []byte) (missing []sardineknot.BundleReference, replaces bool, err error) {
	h, err := decode(raw)
	if err != nil {
		return nil, false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f := max(t.floor, t.head.Revision)
	if h.Revision < f || h.Revision == t.head.Revision && len(raw) > 0 && bundle.Hash(raw) != t.hash {
		return nil, false, errors.WithStack(&sardineknot.OlderConfigurationError{Got: h.Revision, InForce: f})
	}
	if h.Revision > t.head.Revision {
		return t.missingLocked(h), true, nil
	}
	return nil, false, nil
}

// Offer puts the head raw with the bundles s, and those that are held, in force
// if it is newer. It fails as Check does, and with an InvalidError or an
// UnknownError if the bundles are not those that the head names.
func (t *Tracker) Offer(raw []byte, s bundle.Set) (accepted bool, err error) {
	_, ok, err := t.Check(raw)
	if err != nil || !ok {
		return false, err
	}
	h, err := decode(raw)
	if err != nil {
		return false, err
	}
	b, d := t.complete(h, s)
	for _, r := range h.Bundles {
		if d[r.Hash] != nil {
			continue
		}
		d[r.Hash], err = b.Part(r)
		if err != nil {
			return false, err
		}
	}
	return t.replace(h, raw, b, d), nil
}

// SetFloor notes that revision r is in force elsewhere, so that no smaller one
// comes in force here. Zero drops the note.
func (t *Tracker) SetFloor(r sardineknot.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.floor = r
}

// Request returns what to ask a peer for. all asks for everything.
func (t *Tracker) Request(all bool) *api.FetchRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	if all {
		return &api.FetchRequest{}
	}
	return &api.FetchRequest{HaveRevision: int64(t.head.Revision), HaveHead: t.hash}
}

// Answer returns what the sender of q lacks.
func (t *Tracker) Answer(q *api.FetchRequest) *api.FetchResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &api.FetchResponse{Revision: int64(t.head.Revision), HeadHash: t.hash, Head: t.raw}
	if q.GetHaveRevision() >= p.GetRevision() {
		p.Head = nil
		return p
	}
	l := t.head.Bundles
	i := slices.IndexFunc(t.past, func(e earlier) bool { return e.hash == q.GetHaveHead() })
	if i >= 0 && q.GetHaveHead() != "" {
		l = subtract(t.head.Bundles, t.past[i].bundles)
		p.Head = encode(t.head, l)
		p.Difference = true
		p.Removed = removed(t.past[i].bundles, t.head.Bundles)
	}
	for _, r := range l {
		p.Bundles = append(p.Bundles, &api.Bundle{Hash: r.Hash, Content: t.bundles[r.Hash]})
	}
	return p
}

// Take puts the answer of a peer in force if it is newer. It fails as Offer
// does, and with an InvalidError if p is a difference to another head.
func (t *Tracker) Take(p *api.FetchResponse) (accepted bool, err error) {
	h := p.GetHead()
	if len(h) == 0 {
		return false, nil
	}
	if p.GetDifference() {
		h, err = t.whole(p)
		if err != nil {
			return false, err
		}
	}
	s := make(bundle.Set, len(p.GetBundles()))
	for _, b := range p.GetBundles() {
		s[b.GetHash()] = b.GetContent()
	}
	return t.Offer(h, s)
}

// whole applies the difference p to the head in force.
func (t *Tracker) whole(p *api.FetchResponse) ([]byte, error) {
	h, err := decode(p.GetHead())
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	l := slices.Clone(h.Bundles)
	for _, r := range t.head.Bundles {
		n := func(o sardineknot.BundleReference) bool { return o.Name == r.Name }
		if !slices.ContainsFunc(h.Bundles, n) && !slices.Contains(p.GetRemoved(), r.Name) {
			l = append(l, r)
		}
	}
	t.mu.Unlock()
	slices.SortFunc(l, func(a, b sardineknot.BundleReference) int { return strings.Compare(a.Name, b.Name) })
	b := encode(h, l)
	if g := bundle.Hash(b); g != p.GetHeadHash() {
		return nil, errors.WithStack(&sardineknot.InvalidError{What: "head", Got: g, Expected: p.GetHeadHash()})
	}
	return b, nil
}

func (t *Tracker) missingLocked(h sardineknot.ConfigurationHead) []sardineknot.BundleReference {
	var l []sardineknot.BundleReference
	for _, r := range h.Bundles {
		if _, ok := t.bundles[r.Hash]; !ok {
			l = append(l, r)
		}
	}
	return l
}

// complete returns the contents that h names, out of s and those held, and the
// parts that are decoded already.
func (t *Tracker) complete(h sardineknot.ConfigurationHead, s bundle.Set) (bundle.Set, parts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := make(bundle.Set, len(h.Bundles))
	d := make(parts, len(h.Bundles))
	for _, r := range h.Bundles {
		c, ok := s[r.Hash]
		if !ok {
			c, ok = t.bundles[r.Hash]
		}
		if ok {
			b[r.Hash] = c
		}
		if p := t.parts[r.Hash]; p != nil {
			d[r.Hash] = p
		}
	}
	return b, d
}

func (t *Tracker) replace(h sardineknot.ConfigurationHead, raw []byte, b bundle.Set, d parts) bool {
	l := make([]*sardineknot.Configuration, 0, len(d))
	for _, r := range h.Bundles {
		l = append(l, d[r.Hash])
	}
	c := bundle.Merge(h.Revision, l)
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.Revision <= t.head.Revision {
		return false
	}
	if t.hash != "" {
		t.past = append(t.past, earlier{hash: t.hash, bundles: t.head.Bundles})
		t.past = t.past[max(0, len(t.past)-maxPast):]
	}
	t.head, t.raw, t.hash, t.bundles, t.parts, t.configuration = h, raw, bundle.Hash(raw), b, d, c
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

func decode(raw []byte) (h sardineknot.ConfigurationHead, err error) {
	if len(raw) == 0 {
		return h, nil
	}
	err = json.Unmarshal(raw, &h)
	return h, errors.WithStack(err)
}

// encode returns the stored form of h with the references l.
func encode(h sardineknot.ConfigurationHead, l []sardineknot.BundleReference) []byte {
	h.Bundles = l
	b, err := json.Marshal(h)
	if err != nil {
		panic(err)
	}
	return b
}

// subtract returns the references of l that are not in m.
func subtract(l, m []sardineknot.BundleReference) []sardineknot.BundleReference {
	d := []sardineknot.BundleReference{}
	for _, r := range l {
		if !slices.Contains(m, r) {
			d = append(d, r)
		}
	}
	return d
}

// removed returns the names in l that m lacks.
func removed(l, m []sardineknot.BundleReference) []string {
	var d []string
	for _, r := range l {
		n := func(o sardineknot.BundleReference) bool { return o.Name == r.Name }
		if !slices.ContainsFunc(m, n) {
			d = append(d, r.Name)
		}
	}
	return d
}
