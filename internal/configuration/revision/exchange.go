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

// Respond returns the response to request. If the requester's revision is not
// smaller than the one in force, the response has no head. Otherwise it is the
// difference from the requester's head if that head is in the history, and the
// complete configuration if it is not.
func (t *Tracker) Respond(request *api.FetchRequest) *api.FetchResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &api.FetchResponse{Revision: int64(t.head.Revision), HeadHash: t.hash, Head: t.raw}
	if request.GetHaveRevision() >= p.GetRevision() {
		p.Head = nil
		return p
	}
	l := t.head.Bundles
	i := slices.IndexFunc(t.history, func(e pastHead) bool { return e.hash == request.GetHaveHead() })
	if i >= 0 && request.GetHaveHead() != "" {
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

// Apply puts the configuration in response, the response of a peer, in force if
// its revision is greater than the one in force. It fails as Offer does, and
// with an InvalidError if response is a difference from a head other than the
// one in force.
func (t *Tracker) Apply(response *api.FetchResponse) (accepted bool, err error) {
	h := response.GetHead()
	if len(h) == 0 {
		return false, nil
	}
	if response.GetDifference() {
		h, err = t.reconstructHead(response)
		if err != nil {
			return false, err
		}
	}
	s := make(bundle.Set, len(response.GetBundles()))
	for _, b := range response.GetBundles() {
		s[b.GetHash()] = b.GetContent()
	}
	return t.Offer(h, s)
}

// reconstructHead applies difference to the head in force and returns the
// stored form of the resulting head.
func (t *Tracker) reconstructHead(difference *api.FetchResponse) ([]byte, error) {
	h, err := decode(difference.GetHead())
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	l := slices.Clone(h.Bundles)
	for _, r := range t.head.Bundles {
		n := func(o sardineknot.BundleReference) bool { return o.Name == r.Name }
		if !slices.ContainsFunc(h.Bundles, n) && !slices.Contains(difference.GetRemoved(), r.Name) {
			l = append(l, r)
		}
	}
	t.mu.Unlock()
	slices.SortFunc(l, func(a, b sardineknot.BundleReference) int { return strings.Compare(a.Name, b.Name) })
	b := encode(h, l)
	if g := bundle.Hash(b); g != difference.GetHeadHash() {
		return nil, errors.WithStack(&sardineknot.InvalidError{What: "head", Got: g, Expected: difference.GetHeadHash()})
	}
	return b, nil
}

// subtract returns those references that are not in held.
func subtract(references, held []sardineknot.BundleReference) []sardineknot.BundleReference {
	d := []sardineknot.BundleReference{}
	for _, r := range references {
		if !slices.Contains(held, r) {
			d = append(d, r)
		}
	}
	return d
}

// removedNames returns the bundle names in earlier that do not occur in
// current.
func removedNames(earlier, current []sardineknot.BundleReference) []string {
	var d []string
	for _, r := range earlier {
		n := func(o sardineknot.BundleReference) bool { return o.Name == r.Name }
		if !slices.ContainsFunc(current, n) {
			d = append(d, r.Name)
		}
	}
	return d
}
