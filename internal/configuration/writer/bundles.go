package writer

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/bundle"
)

// writeBundles writes the bundles of s that h, the head that the operator saw,
// does not name.
func (w *Writer) writeBundles(ctx context.Context, s bundle.Set, h sardineknot.ConfigurationHead) error {
	m := names(h)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelCalls)
	for n, b := range s {
		if !m[n] {
			g.Go(func() error { return w.writeBundle(ctx, n, b) })
		}
	}
	return g.Wait()
}

// writeBundle writes content b under its hash. A bundle that is there already
// is written again: its new revision keeps it from a collector that found it
// before.
func (w *Writer) writeBundle(ctx context.Context, hash string, b []byte) error {
	k := sardineknot.ConfigurationBundlePrefix + hash
	var r sardineknot.StoreRevision
	var err error
	for i := range attempts {
		_, err = w.store.CompareAndSwap(ctx, k, r, b, 0)
		if err == nil || !resolvable(err) {
			return err
		}
		var c *sardineknot.ConflictError
		if !errors.As(err, &c) {
			pause(ctx, i)
		}
		e, v := w.store.Get(ctx, k)
		if v == nil {
			r = e.Revision
		}
	}
	return err
}

// names returns the hashes of the bundles that h names.
func names(h sardineknot.ConfigurationHead) map[string]bool {
	m := make(map[string]bool, len(h.Bundles))
	for _, r := range h.Bundles {
		m[r.Hash] = true
	}
	return m
}
