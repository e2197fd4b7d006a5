package revision

import (
	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/bundle"
)

// parts holds decoded bundles by the hash of their content.
type parts map[string]*sardineknot.Configuration

// missingLocked returns the references in head to bundles that the tracker does
// not hold.
func (t *Tracker) missingLocked(head sardineknot.ConfigurationHead) []sardineknot.BundleReference {
	var l []sardineknot.BundleReference
	for _, r := range head.Bundles {
		if _, ok := t.bundles[r.Hash]; !ok {
			l = append(l, r)
		}
	}
	return l
}

// collectBundles returns the contents of the bundles that head references, and
// the decoded form of those that the tracker has already decoded. It takes each
// content from received or, if received lacks it, from the tracker. Bundles
// that neither holds are left out.
func (t *Tracker) collectBundles(head sardineknot.ConfigurationHead, received bundle.Set) (bundle.Set, parts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := make(bundle.Set, len(head.Bundles))
	d := make(parts, len(head.Bundles))
	for _, r := range head.Bundles {
		c, ok := received[r.Hash]
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

// install merges the decoded parts and puts the result in force. It returns
// false if the revision of head is no longer greater than the one in force.
func (t *Tracker) install(head sardineknot.ConfigurationHead, raw []byte, bundles bundle.Set, decoded parts) bool {
	l := make([]*sardineknot.Configuration, 0, len(decoded))
	for _, r := range head.Bundles {
		l = append(l, decoded[r.Hash])
	}
	c := bundle.Merge(head.Revision, l)
	t.mu.Lock()
	defer t.mu.Unlock()
	if head.Revision <= t.head.Revision {
		return false
	}
	if t.hash != "" {
		t.history = append(t.history, pastHead{hash: t.hash, bundles: t.head.Bundles})
		t.history = t.history[max(0, len(t.history)-maxHistory):]
	}
	t.head, t.raw, t.hash, t.bundles, t.parts, t.configuration = head, raw, bundle.Hash(raw), bundles, decoded, c
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}
