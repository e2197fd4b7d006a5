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
	// collectInterval is the number of revisions between collections.
	collectInterval = 64
	// collectAge is the time for which an unreferenced bundle is kept, for
	// hosts that are still reading an earlier head.
	collectAge = time.Hour
	// maxCandidates bounds the number of bundles that await removal.
	maxCandidates = 5000
	// garbageKey is the key of the list of bundles that await removal.
	garbageKey = "sardineknot/configuration/garbage"
)

// garbage is the value of garbageKey.
type garbage struct {
	// Candidates has at most maxCandidates elements.
	Candidates []candidate
}

// candidate is a bundle that a collection found unreferenced.
type candidate struct {
	Hash string
	// StoreRevision is the number of the store revision of the bundle in that collection. A
	// bundle that was written since is a different candidate.
	StoreRevision int64
	// Since is the time of that collection according to the operator's clock.
	Since time.Time
}

// listBundles returns the stored bundles if a collection is due after n has
// been written. It returns nil if no collection is due or if the list cannot be
// read. The list must be read before n is written; see collect for the reason.
func (w *Writer) listBundles(ctx context.Context, n sardineknot.ConfigurationHead) []sardineknot.StoreEntry {
	if n.Revision%collectInterval != 0 || n.AcceptedAt.IsZero() {
		return nil
	}
	l, err := w.store.Keys(ctx, sardineknot.ConfigurationBundlePrefix)
	if err != nil {
		return nil
	}
	return l
}

// collect removes the bundles in l that no head needs any more. n was accepted
// after l was read. Errors are ignored, because the next collection finds the
// same bundles again.
//
// collect never removes a bundle that a concurrent writer is about to
// reference, regardless of clock differences. A bundle is removed only at the
// store revision that it has in l, which is older than n. A writer that saw a
// head before n fails, since its compare-and-swap expects an older revision of
// the head. A writer that saw n or a later head writes every bundle that this
// head does not reference before it writes its own head. If that write precedes
// the removal, the removal finds a different store revision and fails; if it
// follows the removal, it creates the bundle again.
//
// For the same reason, a candidate whose store revision is unchanged has not
// been referenced by any head since the collection that found it, at least
// collectInterval revisions earlier.
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
	m := bundleHashes(n)
	var k garbage
	for _, e := range l {
		h := strings.TrimPrefix(e.Key, sardineknot.ConfigurationBundlePrefix)
		if m[h] || len(k.Candidates) >= maxCandidates {
			continue
		}
		c, ok := o[h]
		if !ok || c.StoreRevision != e.Revision.Number {
			c = candidate{Hash: h, StoreRevision: e.Revision.Number, Since: n.AcceptedAt}
		}
		if n.AcceptedAt.Sub(c.Since) < collectAge || w.store.Delete(ctx, e.Key, e.Revision) != nil {
			k.Candidates = append(k.Candidates, c)
		}
	}
	b, err := json.Marshal(k)
	if err == nil {
		_, _ = w.store.CompareAndSwap(ctx, garbageKey, r, b, sardineknot.LeaseID{})
	}
}

// garbage returns the value of garbageKey and its store revision. Both are
// zero if the key is absent.
func (w *Writer) garbage(ctx context.Context) (garbage, sardineknot.StoreRevision, error) {
	var g garbage
	e, err := w.store.Get(ctx, garbageKey)
	if err != nil || e.Revision.Absent() {
		return g, sardineknot.StoreRevision{}, err
	}
	err = json.Unmarshal(e.Value, &g)
	return g, e.Revision, errors.WithStack(err)
}
