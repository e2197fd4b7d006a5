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
	"sync"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/bundle"
)

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
// greater than the one in force. received must contain the referenced bundles
// that the tracker does not hold. Offer fails as Check does, and with an
// InvalidError or an UnknownError if the bundles do not match the references in
// the head.
func (t *Tracker) Offer(raw []byte, received bundle.Set) (accepted bool, err error) {
	_, ok, err := t.Check(raw)
	if err != nil || !ok {
		return false, err
	}
	h, err := decode(raw)
	if err != nil {
		return false, err
	}
	b, d := t.collectBundles(h, received)
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

// SetMinRevision records that revision is in force elsewhere, so that smaller
// revisions are rejected. Zero removes the minimum.
func (t *Tracker) SetMinRevision(revision sardineknot.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.minRevision = revision
}
