package writer

import (
	"context"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// attempts bounds the tries of one call to the store.
	attempts = 6
	// firstPause is the pause after the first try. Every later one is twice
	// as long.
	firstPause = 100 * time.Millisecond
)

// swap replaces the head at revision seen, which held revision r, by n.
func (w *Writer) swap(ctx context.Context, n sardineknot.ConfigurationHead, r sardineknot.Revision, seen sardineknot.StoreRevision) error {
	b, err := json.Marshal(n)
	if err != nil {
		return errors.WithStack(err)
	}
	for i := range attempts {
		_, err = w.store.CompareAndSwap(ctx, sardineknot.ConfigurationHeadKey, seen, b, 0)
		if err == nil || !resolvable(err) {
			return err
		}
		ok, v := w.resolve(ctx, n, r, seen)
		if ok {
			return v
		}
		pause(ctx, i)
	}
	return errors.WithStack(&sardineknot.ConfigurationUnknownError{Operation: n.Operation, Seen: r, Cause: err})
}

// resolvable reports whether the head tells what became of a write that failed
// with err.
func resolvable(err error) bool {
	var u *sardineknot.UnavailableError
	var c *sardineknot.ConflictError
	return errors.As(err, &u) || errors.As(err, &c)
}

// resolve finds out from the head whether n took effect. known is false if the
// head cannot be read or is still at revision seen; otherwise result is that
// of the change.
func (w *Writer) resolve(ctx context.Context, n sardineknot.ConfigurationHead, r sardineknot.Revision, seen sardineknot.StoreRevision) (known bool, result error) {
	h, s, err := w.Head(ctx)
	switch {
	case err != nil || s == seen:
		return false, nil
	case find(h, n.Operation):
		return true, nil
	case covers(h, r):
		return true, Conflict(h, r)
	default:
		return true, errors.WithStack(&sardineknot.ConfigurationUnknownError{Operation: n.Operation, Seen: r})
	}
}

// covers reports whether h lists every change after revision r.
func covers(h sardineknot.ConfigurationHead, r sardineknot.Revision) bool {
	l := len(h.Recent)
	return l < sardineknot.MaxRecentChanges || h.Recent[l-1].Revision <= r+1
}

// Conflict returns the error that names the first change of h after revision
// r.
func Conflict(h sardineknot.ConfigurationHead, r sardineknot.Revision) error {
	e := &sardineknot.ConfigurationConflictError{Seen: r, Current: h.Revision}
	for _, c := range h.Recent {
		if c.Revision > r {
			e.Other = c
		}
	}
	return errors.WithStack(e)
}

// pause waits before the next try after try i, or until ctx is done.
func pause(ctx context.Context, i int) {
	t := time.NewTimer(firstPause << i)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
