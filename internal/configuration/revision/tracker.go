// Package revision holds the configuration in force on one host and decides
// which configurations may replace it. It uses neither a clock nor the network.
//
// A configuration is replaced only by one with a greater revision. A
// configuration arrives as its stored head and the bundles that the head
// references, whose contents are verified against their hashes. A host can send
// a head to another as a difference from an earlier head that the other holds.
// The receiver verifies the reconstructed head against the hash of the complete
// one.
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

// maxHistory bounds the number of earlier heads against which differences can
// be computed.
const maxHistory = 64

// Tracker holds the configuration in force. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// configuration is the configuration in force. It is never nil, and its
	// revision never decreases.
	configuration *sardineknot.Configuration
	// head is the head of configuration, raw its stored form and hash the hash
	// of raw. All are zero until a configuration has been accepted.
	head sardineknot.ConfigurationHead
	raw  []byte
	hash string
	// bundles holds exactly the bundles that head references.
	bundles bundle.Set
	// parts caches the decoded bundles, so that a change decodes only the
	// bundles that it modifies.
	parts parts
	// history holds earlier heads, in ascending order of revision.
	history []pastHead
	// minRevision is a revision that a peer has reported, or zero. Smaller
	// revisions are rejected.
	minRevision sardineknot.Revision
	// changed is closed and replaced on every change of configuration.
	changed chan struct{}
}

// parts holds decoded bundles by the hash of their content.
type parts map[string]*sardineknot.Configuration

// pastHead is a head that was in force earlier.
type pastHead struct {
	hash    string
	bundles []sardineknot.BundleReference
}

var _ sardineknot.ConfigurationSource = (*Tracker)(nil)

// NewTracker returns a tracker with the empty configuration in force.
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

// Check decides whether the stored head raw may replace the head in force.
// replaces reports whether the revision of raw is greater than the one in
// force. If so, missing holds the references in raw to bundles that the tracker
// does not hold. Check fails with a StaleConfigurationError if the revision of
// raw is smaller than the one in force or than the minimum revision, or if raw
// has the revision in force but different content. If raw is empty, it counts
// as a head of revision zero.
func (t *Tracker) Check(raw []byte) (missing []sardineknot.BundleReference, replaces bool, err error) {
	h, err := decode(raw)
	if err != nil {
		return nil, false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f := max(t.minRevision, t.head.Revision)
	if h.Revision < f || h.Revision == t.head.Revision && len(raw) > 0 && bundle.Hash(raw) != t.hash {
		return nil, false, errors.WithStack(&sardineknot.StaleConfigurationError{Got: h.Revision, InForce: f})
	}
	if h.Revision > t.head.Revision {
		return t.missingLocked(h), true, nil
	}
	return nil, false, nil
}

// Offer puts the configuration with head raw in force if its revision is
// greater than the one in force. s must contain the referenced bundles that the
// tracker does not hold. Offer fails as Check does, and with an InvalidError or
// an UnknownError if the bundles do not match the references in the head.
func (t *Tracker) Offer(raw []byte, s bundle.Set) (accepted bool, err error) {
	_, ok, err := t.Check(raw)
	if err != nil || !ok {
		return false, err
	}
	h, err := decode(raw)
	if err != nil {
		return false, err
	}
	b, d := t.collectBundles(h, s)
	for _, r := range h.Bundles {
		if d[r.Hash] != nil {
			continue
		}
		d[r.Hash], err = b.Part(r)
		if err != nil {
			return false, err
		}
	}
	return t.install(h, raw, b, d), nil
}

// SetMinRevision records that revision r is in force elsewhere, so that smaller
// revisions are rejected. Zero removes the minimum.
func (t *Tracker) SetMinRevision(r sardineknot.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.minRevision = r
}

// Request returns the request to send to a peer. If all is set, it asks for the
// complete configuration, otherwise for a difference from the head in force.
func (t *Tracker) Request(all bool) *api.FetchRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	if all {
		return &api.FetchRequest{}
	}
	return &api.FetchRequest{HaveRevision: int64(t.head.Revision), HaveHead: t.hash}
}

// Respond returns the response to q. If the requester's revision is not smaller
// than the one in force, the response has no head. Otherwise it is the
// difference from the requester's head if that head is in the history, and the
// complete configuration if it is not.
func (t *Tracker) Respond(q *api.FetchRequest) *api.FetchResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &api.FetchResponse{Revision: int64(t.head.Revision), HeadHash: t.hash, Head: t.raw}
	if q.GetHaveRevision() >= p.GetRevision() {
		p.Head = nil
		return p
	}
	l := t.head.Bundles
	i := slices.IndexFunc(t.history, func(e pastHead) bool { return e.hash == q.GetHaveHead() })
	if i >= 0 && q.GetHaveHead() != "" {
		l = subtract(t.head.Bundles, t.history[i].bundles)
		p.Head = encode(t.head, l)
		p.Difference = true
		p.Removed = removedNames(t.history[i].bundles, t.head.Bundles)
	}
	for _, r := range l {
		p.Bundles = append(p.Bundles, &api.Bundle{Hash: r.Hash, Content: t.bundles[r.Hash]})
	}
	return p
}

// Apply puts the configuration in p, the response of a peer, in force if its
// revision is greater than the one in force. It fails as Offer does, and with
// an InvalidError if p is a difference from a head other than the one in force.
func (t *Tracker) Apply(p *api.FetchResponse) (accepted bool, err error) {
	h := p.GetHead()
	if len(h) == 0 {
		return false, nil
	}
	if p.GetDifference() {
		h, err = t.reconstructHead(p)
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

// reconstructHead applies the difference p to the head in force and returns the
// stored form of the resulting head.
func (t *Tracker) reconstructHead(p *api.FetchResponse) ([]byte, error) {
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

// missingLocked returns the references in h to bundles that the tracker does
// not hold.
func (t *Tracker) missingLocked(h sardineknot.ConfigurationHead) []sardineknot.BundleReference {
	var l []sardineknot.BundleReference
	for _, r := range h.Bundles {
		if _, ok := t.bundles[r.Hash]; !ok {
			l = append(l, r)
		}
	}
	return l
}

// collectBundles returns the contents of the bundles that h references, and the
// decoded form of those that the tracker has already decoded. It takes each
// content from s or, if s lacks it, from the tracker. Bundles that neither
// holds are left out.
func (t *Tracker) collectBundles(h sardineknot.ConfigurationHead, s bundle.Set) (bundle.Set, parts) {
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

// install merges the decoded parts d and puts the result in force. It returns
// false if the revision of h is no longer greater than the one in force.
func (t *Tracker) install(h sardineknot.ConfigurationHead, raw []byte, b bundle.Set, d parts) bool {
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
		t.history = append(t.history, pastHead{hash: t.hash, bundles: t.head.Bundles})
		t.history = t.history[max(0, len(t.history)-maxHistory):]
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

// subtract returns the references in l that are not in m.
func subtract(l, m []sardineknot.BundleReference) []sardineknot.BundleReference {
	d := []sardineknot.BundleReference{}
	for _, r := range l {
		if !slices.Contains(m, r) {
			d = append(d, r)
		}
	}
	return d
}

// removedNames returns the bundle names in l that do not occur in m.
func removedNames(l, m []sardineknot.BundleReference) []string {
	var d []string
	for _, r := range l {
		n := func(o sardineknot.BundleReference) bool { return o.Name == r.Name }
		if !slices.ContainsFunc(m, n) {
			d = append(d, r.Name)
		}
	}
	return d
}
