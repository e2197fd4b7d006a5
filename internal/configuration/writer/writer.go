// Package writer accepts configurations by writing them to the platform's
// key-value service, from which the entry hosts read them.
//
// A change is a compare-and-swap of the head, conditional on the store revision
// that the operator saw. Bundles are written before the head that references
// them.
//
// If the reply to the compare-and-swap is lost, the writer reads the head,
// which lists the operations of the most recent changes, and so finds the
// change even if others followed it. The compare-and-swap is repeated only
// while the head is still at the revision that the operator saw, so that at
// most one of the attempts can take effect.
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
	// parallelCalls bounds the number of concurrent calls to the store.
	parallelCalls = 8
	// maxHeadReads bounds how often Accepted reads the head. It reads the head
	// again if a collection has removed a bundle that the head references.
	maxHeadReads = 3
)

// Writer writes configurations to one store. It is safe for concurrent use.
type Writer struct {
	// AboveRevision is a revision that the next revision must exceed. It is
	// zero unless the store was reset to a revision smaller than the one that
	// hosts have in force.
	AboveRevision sardineknot.Revision

	store sardineknot.Store
}

// NewWriter returns a writer to the store s.
func NewWriter(s sardineknot.Store) *Writer {
	return &Writer{store: s}
}

// Head returns the accepted head and its store revision. Both are zero if no
// configuration has been accepted yet.
func (w *Writer) Head(ctx context.Context) (sardineknot.ConfigurationHead, sardineknot.StoreRevision, error) {
	var h sardineknot.ConfigurationHead
	e, err := w.store.Get(ctx, sardineknot.ConfigurationHeadKey)
	if err != nil || e.Revision.Absent() {
		return h, sardineknot.StoreRevision{}, err
	}
	err = json.Unmarshal(e.Value, &h)
	return h, e.Revision, errors.WithStack(err)
}

// Accepted returns the accepted head, its store revision and the configuration
// that it references. The configuration is nil if and only if err is not nil.
// Bundles that local also has, with the same content, are not read from the
// store. local may be nil.
func (w *Writer) Accepted(ctx context.Context, local *sardineknot.Configuration) (h sardineknot.ConfigurationHead, seen sardineknot.StoreRevision, c *sardineknot.Configuration, err error) {
	if local == nil {
		local = &sardineknot.Configuration{}
	}
	s, _, err := bundle.Split(local)
	if err != nil {
		return h, seen, nil, err
	}
	for range maxHeadReads {
		h, seen, err = w.Head(ctx)
		if err != nil {
			return h, seen, nil, err
		}
		c, err = w.load(ctx, h, s)
		var u *sardineknot.UnknownError
		if !errors.As(err, &u) {
			return h, seen, c, err
		}
	}
	return h, seen, nil, err
}

// load returns the configuration that h references. It reads the bundles that s
// lacks and adds them to s. It fails with an UnknownError if a bundle is not in
// the store.
func (w *Writer) load(ctx context.Context, h sardineknot.ConfigurationHead, s bundle.Set) (*sardineknot.Configuration, error) {
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
		if !e.Revision.Absent() {
			s[h.Bundles[i].Hash] = e.Value
		}
	}
	return s.Join(h)
}

// Write accepts c as the successor of h, the head that the operator read at
// store revision seen. The caller must set the Operation, Author and AcceptedAt
// of h to those of the change. An Operation that is empty or already listed in
// h is replaced by a new one. Write sets the revision of c.
//
// Write fails with a ConfigurationConflictError if another change was accepted
// since the operator read h, with a ConfigurationOutcomeUnknownError if the
// store does not show whether the change took effect, and with an
// UnavailableError if it did not.
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
	g := w.listBundles(ctx, n)
	err = w.swapHead(ctx, n, h.Revision, seen)
	if err != nil {
		return err
	}
	c.Revision = n.Revision
	w.collect(ctx, n, g)
	return nil
}

// successor returns the head that follows h and references the bundles l.
func (w *Writer) successor(h sardineknot.ConfigurationHead, l []sardineknot.BundleReference) sardineknot.ConfigurationHead {
	n := h
	n.Revision = max(h.Revision, w.AboveRevision) + 1
	if n.Operation == "" || hasOperation(h, n.Operation) {
		n.Operation = uuid.NewString()
	}
	c := sardineknot.ConfigurationChange{Revision: n.Revision, Operation: n.Operation, Author: n.Author, AcceptedAt: n.AcceptedAt}
	n.Recent = slices.Insert(slices.Clone(h.Recent), 0, c)
	n.Recent = n.Recent[:min(len(n.Recent), sardineknot.MaxRecentChanges)]
	n.Bundles = l
	return n
}

// hasOperation reports whether operation is among the recent changes in h.
func hasOperation(h sardineknot.ConfigurationHead, operation string) bool {
	return slices.ContainsFunc(h.Recent, func(c sardineknot.ConfigurationChange) bool { return c.Operation == operation })
}
