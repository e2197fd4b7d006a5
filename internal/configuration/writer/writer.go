// Package writer puts configurations in force by compare-and-swap of the
// stored head.
package writer

import (
	"context"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/bundle"
)

// Writer writes to one store. It is safe for concurrent use.
type Writer struct {
	store sardineknot.Store
}

// NewWriter returns a writer to s.
func NewWriter(s sardineknot.Store) *Writer {
	return &Writer{store: s}
}

// Head returns the accepted head and its revision in the store. Both are zero
// if nothing was accepted yet.
func (w *Writer) Head(ctx context.Context) (sardineknot.ConfigurationHead, sardineknot.StoreRevision, error) {
	var h sardineknot.ConfigurationHead
	e, err := w.store.Get(ctx, sardineknot.ConfigurationHeadKey)
	if err != nil || e.Revision == 0 {
		return h, 0, err
	}
	err = json.Unmarshal(e.Value, &h)
	return h, e.Revision, errors.WithStack(err)
}

// Write accepts c as the successor of the head at revision seen. It sets the
// revision of c. It fails with a ConflictError if the head has changed since.
func (w *Writer) Write(ctx context.Context, c *sardineknot.Configuration, h sardineknot.ConfigurationHead, seen sardineknot.StoreRevision) error {
	h.Revision++
	s, l, err := bundle.Split(c)
	if err != nil {
		return err
	}
	for n, b := range s {
		err = w.writeBundle(ctx, n, b)
		if err != nil {
			return err
		}
	}
	h.Bundles = l
	b, err := json.Marshal(h)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = w.store.CompareAndSwap(ctx, sardineknot.ConfigurationHeadKey, seen, b, 0)
	c.Revision = h.Revision
	return err
}

// writeBundle writes content b under its hash, unless it is there already.
func (w *Writer) writeBundle(ctx context.Context, hash string, b []byte) error {
	_, err := w.store.CompareAndSwap(ctx, sardineknot.ConfigurationBundlePrefix+hash, 0, b, 0)
	var c *sardineknot.ConflictError
	if errors.As(err, &c) {
		return nil
	}
	return err
}
