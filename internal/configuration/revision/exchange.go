package revision

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/bundle"
	api "sardineknot.example/sardineknot/internal/rpc/configuration"
)

// maxHistory bounds the number of earlier heads against which differences can
// be computed.
const maxHistory = 64

// pastHead is a head that was in force earlier.
type pastHead struct {
	hash    string
	bundles []sardineknot.BundleReference
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
