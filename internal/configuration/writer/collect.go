package writer

import (
	"context"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// collectInterval is the number of revisions between two collections.
	collectInterval = 64
	// collectAge is the time for which a bundle without a head that names it
	// is kept, for hosts that are still reading an earlier head.
	collectAge = time.Hour
	// maxCandidates bounds the bundles that wait for their removal.
	maxCandidates = 5000
	// garbageKey holds the bundles that wait for their removal.
	garbageKey = "sardineknot/configuration/garbage"
)

// garbage is the value of garbageKey.
type garbage struct {
	// Candidates is at most maxCandidates long.
	Candidates []candidate
}

// candidate is a bundle that no head has named since a collection.
type candidate struct {
	Hash string
	// StoreRevision is the revision that the bundle had then. Every write of
	// the bundle since makes it another one.
	StoreRevision sardineknot.StoreRevision
	// Since is the time of that collection by the operator's clock.
	Since time.Time
}

// list returns the stored bundles if it is n's turn to collect, or nil. The
// list must be complete before n is written, see collect.
func (w *Writer) list(ctx context.Context, n sardineknot.ConfigurationHead) []sardineknot.StoreEntry {
	if n.Revision%collectInterval != 0 || n.AcceptedAt.IsZero() {
		return nil
	}
	l, err := w.store.Keys(ctx, sardineknot.ConfigurationBundlePrefix)
	if err != nil {
		return nil
	}
	return l
}

// collect removes the bundles of l that no head needs any more. n was accepted
// after l was read. Failures are passed over: the next collection finds the
// same bundles again.
//
// It never removes a bundle that a concurrent writer is about to name,
// whatever the clocks say. A bundle is removed only at the revision that it
// has in l, which is older than n. A writer that saw a head before n fails,
// since its compare-and-swap of the head is on an older revision. A writer
// that saw n or a later head writes every bundle that this head does not name
// before it names it: either this write comes first, then the removal finds
// another revision and fails; or the removal comes first, then the write
// creates the bundle anew.
//
// For the same reason a candidate whose revision did not change was named by
// no head since the collection that found it, collectInterval revisions ago.
func (w *Writer) collect(ctx context.Context, n sardineknot.ConfigurationHead, l []sardineknot.StoreEntry) {
	if l == nil {
		return
	}
	g, r, err := w.garbage(ctx)
	if err != nil {
		return
	}
	o := make(map[string]candidate, len(g.Candidates))
	for _, c := range g.Candidates {
		o[c.Hash] = c
	}
	m := names(n)
	var k garbage
	for _, e := range l {
		h := strings.TrimPrefix(e.Key, sardineknot.ConfigurationBundlePrefix)
		if m[h] || len(k.Candidates) >= maxCandidates {
			continue
		}
		c, ok := o[h]
		if !ok || c.StoreRevision != e.Revision {
			c = candidate{Hash: h, StoreRevision: e.Revision, Since: n.AcceptedAt}
		}
		if n.AcceptedAt.Sub(c.Since) < collectAge || w.store.Delete(ctx, e.Key, e.Revision) != nil {
			k.Candidates = append(k.Candidates, c)
		}
	}
	b, err := json.Marshal(k)
	if err == nil {
		_, _ = w.store.CompareAndSwap(ctx, garbageKey, r, b, 0)
	}
}

func (w *Writer) garbage(ctx context.Context) (garbage, sardineknot.StoreRevision, error) {
	var g garbage
	e, err := w.store.Get(ctx, garbageKey)
	if err != nil || e.Revision == 0 {
		return g, 0, err
	}
	err = json.Unmarshal(e.Value, &g)
	return g, e.Revision, errors.WithStack(err)
}
