// Package ownership confirms with the answer directory, after the process was
// paused, that this host still produces its answers before it delivers more of
// them.
package ownership

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/pause"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// retryDelay is the delay before a failed call to the directory is retried.
const retryDelay = 50 * time.Millisecond

// Checker confirms after each pause of the process that this host still
// produces an answer. It is safe for concurrent use. All fields must be set
// before use.
type Checker struct {
	// PauseDetector counts the pauses of this process.
	PauseDetector *pause.Detector
	// Directory holds the current records.
	Directory sardineknot.AnswerDirectory
	// LocalRecord returns the record that this host has registered for a
	// request, if any.
	LocalRecord func(sardineknot.RequestKey) (sardineknot.AnswerRecord, bool)
}

// For returns a function that succeeds while this host produces the answer to
// request k. The function queries the directory only if the process was paused
// since its last success. It fails with a DeliveryTakenOverError if another
// host produces the answer, and with the error of its context.
func (c *Checker) For(k sardineknot.RequestKey) func(context.Context) error {
	var n atomic.Int64
	n.Store(int64(c.PauseDetector.Pauses()))
	return func(ctx context.Context) error {
		m := int64(c.PauseDetector.Pauses())
		if m == n.Load() {
			return nil
		}
		err := c.confirmProducer(ctx, k)
		if err == nil {
			n.Store(m)
		}
		return err
	}
}

// confirmProducer retries until the directory confirms or denies that this host
// produces the answer to k. It succeeds if this host has no record of k.
func (c *Checker) confirmProducer(ctx context.Context, k sardineknot.RequestKey) error {
	for {
		r, ok := c.LocalRecord(k)
		if !ok {
			return nil
		}
		f, _, err := c.Directory.Register(ctx, r)
		if err == nil && f.Host != r.Host {
			return errors.WithStack(&sardineknot.DeliveryTakenOverError{Key: k})
		}
		if err == nil {
			return nil
		}
		err = clock.System{}.Sleep(ctx, retryDelay)
		if err != nil {
			return err
		}
	}
}
