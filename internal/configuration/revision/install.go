package revision

import (
	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/bundle"
)

// parts holds decoded bundles by the hash of their content.
type parts map[string]*sardineknot.Configuration

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
