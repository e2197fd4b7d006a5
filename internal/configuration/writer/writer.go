// Package writer accepts configurations: it writes them to the platform's
// key-value service for all entry hosts to read.
//
// A change is a compare-and-swap of the head on the revision in the store that
// the operator saw. Bundles are written before the head that names them.
//
// A lost reply is resolved by the operation in the head: it lists the last
// changes, so that a change is found also when others followed. Only while the
// head is still what the operator saw is the same compare-and-swap repeated,
// and of the two at most one can take effect.
package writer

import (
	"context"
	"slices"

	"github.com/go-json-experiment/json"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/bundle"
)

const (
	// parallelCalls bounds the calls to the store at once.
	parallelCalls = 8
	// maxHeadReads bounds the reads of the head while bundles are collected.
	maxHeadReads = 3
)

// Writer writes to one store. It is safe for concurrent use.
type Writer struct {
	// Above is a revision that the next one exceeds. It is zero, but for a
	// store that came back older than the revision that hosts have in force.
	Above sardineknot.Revision

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

// Accepted returns the accepted head, its revision in the store and the
// configuration that it names, which is never nil without an error. Bundles
// that like has as well are not read from the store. like may be nil.
func (w *Writer) Accepted(ctx context.Context, like *sardineknot.Configuration) (h sardineknot.ConfigurationHead, seen sardineknot.StoreRevision, c *sardineknot.Configuration, err error) {
	if like == nil {
		like = &sardineknot.Configuration{}
	}
	s, _, err := bundle.Split(like)
	if err != nil {
		return h, seen, nil, err
	}
	for range maxHeadReads {
		h, seen, err = w.Head(ctx)
		if err != nil {
			return h, seen, nil, err
		}
		c, err = w.join(ctx, h, s)
		var u *sardineknot.UnknownError
		if !errors.As(err, &u) {
			return h, seen, c, err
		}
	}
	return h, seen, nil, err
}

// join returns the configuration that h names and adds the bundles that s
// lacks to it. It fails with an UnknownError if a bundle is gone.
func (w *Writer) join(ctx context.Context, h sardineknot.ConfigurationHead, s bundle.Set) (*sardineknot.Configuration, error) {
	l := make([]sardineknot.StoreEntry, len(h.Bundles))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelCalls)
	for i, r := range h.Bundles {
		if _, ok := s[r.Hash]; ok {
			continue
		}
		g.Go(func() error {
			e, err := w.store.Get(ctx, sardineknot.ConfigurationBundlePrefix+r.Hash)
			l[i] = e
			return err
		})
	}
	err := g.Wait()
	if err != nil {
		return nil, err
	}
	for i, e := range l {
		if e.Revision != 0 {
			s[h.Bundles[i].Hash] = e.Value
		}
	}
	return s.Join(h)
}

// Write accepts c as the successor of the head at revision seen. h is that
// head, with the Operation, Author and AcceptedAt of the change; an Operation
// that is empty or was used before is replaced by a new one. It sets the
// revision of c.
//
// It fails with a ConfigurationConflictError if another change was accepted
// since, with a ConfigurationUnknownError if the store does not tell whether
// the change took effect, and with an UnavailableError if it did not.
func (w *Writer) Write(ctx context.Context, c *sardineknot.Configuration, h sardineknot.ConfigurationHead, seen sardineknot.StoreRevision) error {
	s, l, err := bundle.Split(c)
	if err != nil {
		return err
	}
	n := w.successor(h, l)
	err = w.writeBundles(ctx, s, h)
	if err != nil {
		return err
	}
	g := w.list(ctx, n)
	err = w.swap(ctx, n, h.Revision, seen)
	if err != nil {
		return err
	}
	c.Revision = n.Revision
	w.collect(ctx, n, g)
	return nil
}

// successor returns the head that follows h, with bundles l.
func (w *Writer) successor(h sardineknot.ConfigurationHead, l []sardineknot.BundleReference) sardineknot.ConfigurationHead {
	n := h
	n.Revision = max(h.Revision, w.Above) + 1
	if n.Operation == "" || find(h, n.Operation) {
		n.Operation = uuid.NewString()
	}
	c := sardineknot.ConfigurationChange{Revision: n.Revision, Operation: n.Operation, Author: n.Author, AcceptedAt: n.AcceptedAt}
	n.Recent = slices.Insert(slices.Clone(h.Recent), 0, c)
	n.Recent = n.Recent[:min(len(n.Recent), sardineknot.MaxRecentChanges)]
	n.Bundles = l
	return n
}

// find reports whether h lists operation.
func find(h sardineknot.ConfigurationHead, operation string) bool {
	return slices.ContainsFunc(h.Recent, func(c sardineknot.ConfigurationChange) bool { return c.Operation == operation })
}
