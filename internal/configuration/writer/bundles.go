package writer

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/bundle"
)

// writeBundles writes the bundles in s that h, the head that the operator saw,
// does not reference.
func (w *Writer) writeBundles(ctx context.Context, s bundle.Set, h sardineknot.ConfigurationHead) error {
	m := bundleHashes(h)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelCalls)
	for n, b := range s {
		if !m[n] {
			g.Go(func() error { return w.writeBundle(ctx, n, b) })
		}
	}
	return g.Wait()
}

// writeBundle writes content b under its hash. It writes a bundle again even if
// it exists: the new store revision prevents a concurrent collector, which
// listed the bundle earlier, from removing it.
func (w *Writer) writeBundle(ctx context.Context, hash string, b []byte) error {
	k := sardineknot.ConfigurationBundlePrefix + hash
	var r sardineknot.StoreRevision
	var err error
	for i := range maxAttempts {
		_, err = w.store.CompareAndSwap(ctx, k, r, b, sardineknot.LeaseID{})
		if err == nil || !isResolvable(err) {
			return err
		}
		var c *sardineknot.ConflictError
		if !errors.As(err, &c) {
			backOff(ctx, i)
		}
		e, v := w.store.Get(ctx, k)
		if v == nil {
			r = e.Revision
		}
	}
	return err
}

// bundleHashes returns the hashes of the bundles that h references.
func bundleHashes(h sardineknot.ConfigurationHead) map[string]bool {
	m := make(map[string]bool, len(h.Bundles))
	for _, r := range h.Bundles {
		m[r.Hash] = true
	}
	return m
}
