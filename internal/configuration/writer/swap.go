package writer

import (
	"context"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
)

const (
	// maxAttempts bounds the attempts of one write to the store.
	maxAttempts = 6
	// retryDelay is the delay after the first attempt. It doubles after each
	// further attempt.
	retryDelay = 100 * time.Millisecond
)

// swapHead replaces the head by n, provided that the store revision of the head
// still equals seen. r is the configuration revision of the replaced head.
func (w *Writer) swapHead(ctx context.Context, n sardineknot.ConfigurationHead, r sardineknot.Revision, seen sardineknot.StoreRevision) error {
	b, err := json.Marshal(n)
	if err != nil {
		return errors.WithStack(err)
	}
	for i := range maxAttempts {
		_, err = w.store.CompareAndSwap(ctx, sardineknot.ConfigurationHeadKey, seen, b, sardineknot.LeaseID{})
		if err == nil || !isResolvable(err) {
			return err
		}
		ok, v := w.resolveSwap(ctx, n, r, seen)
		if ok {
			return v
		}
		backOff(ctx, i)
	}
	return errors.WithStack(&sardineknot.ConfigurationOutcomeUnknownError{Operation: n.Operation, Seen: r, Cause: err})
}

// isResolvable reports whether reading the key can show if a write that failed
// with err took effect. This includes a ConflictError, which may be caused
// by an earlier attempt whose reply was lost.
func isResolvable(err error) bool {
	var u *sardineknot.UnavailableError
	var c *sardineknot.ConflictError
	return errors.As(err, &u) || errors.As(err, &c)
}

// resolveSwap reads the head to determine whether an attempt of swapHead to
// replace it by n took effect. known is false if the head cannot be read or its
// store revision still equals seen. Otherwise result is nil if n took effect, a
// ConfigurationConflictError if it did not, and a
// ConfigurationOutcomeUnknownError if the head does not show whether it did. r
// is the configuration revision that n was to replace.
func (w *Writer) resolveSwap(ctx context.Context, n sardineknot.ConfigurationHead, r sardineknot.Revision, seen sardineknot.StoreRevision) (known bool, result error) {
	h, s, err := w.Head(ctx)
	switch {
	case err != nil || s == seen:
		return false, nil
	case hasOperation(h, n.Operation):
		return true, nil
	case coversSince(h, r):
		return true, NewConflictError(h, r)
	default:
		return true, errors.WithStack(&sardineknot.ConfigurationOutcomeUnknownError{Operation: n.Operation, Seen: r})
	}
}

// coversSince reports whether h lists every change after revision r.
func coversSince(h sardineknot.ConfigurationHead, r sardineknot.Revision) bool {
	l := len(h.Recent)
	return l < sardineknot.MaxRecentChanges || h.Recent[l-1].Revision <= r+1
}

// NewConflictError returns a ConfigurationConflictError that names the first
// change that h lists after revision r.
func NewConflictError(h sardineknot.ConfigurationHead, r sardineknot.Revision) error {
	e := &sardineknot.ConfigurationConflictError{Seen: r, Current: h.Revision}
	for _, c := range h.Recent {
		if c.Revision > r {
			e.Other = c
		}
	}
	return errors.WithStack(e)
}

// backOff waits for the delay after attempt i, or until ctx is done. Attempts
// are numbered from zero.
func backOff(ctx context.Context, i int) {
	_ = clock.System{}.Sleep(ctx, retryDelay<<i)
}
