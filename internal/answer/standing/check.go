// Package standing finds out, after this process was paused, whether it still
// produces its answers, before it delivers any more of them.
package standing

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/pulse"
)

// pause is the time before the directory is asked again.
const pause = 50 * time.Millisecond

// Check asks the directory after a pause. It is safe for concurrent use. All
// fields are set before use.
type Check struct {
	// Pulse counts the pauses of this process.
	Pulse *pulse.Pulse
	// Directory holds the records in force.
	Directory sardineknot.AnswerDirectory
	// Own returns the record that this host has of a request.
	Own func(sardineknot.RequestKey) (sardineknot.AnswerRecord, bool)
}

// For returns a function that succeeds while this host produces the answer to
// request k. It fails with a DisplacedError once another host does, and with
// the error of its context.
func (c *Check) For(k sardineknot.RequestKey) func(context.Context) error {
	var n atomic.Int64
	n.Store(int64(c.Pulse.Pauses()))
	return func(ctx context.Context) error {
		m := int64(c.Pulse.Pauses())
		if m == n.Load() {
			return nil
		}
		err := c.verify(ctx, k)
		if err == nil {
			n.Store(m)
		}
		return err
	}
}

// verify asks the directory until it answers.
func (c *Check) verify(ctx context.Context, k sardineknot.RequestKey) error {
	for {
		r, ok := c.Own(k)
		if !ok {
			return nil
		}
		f, _, err := c.Directory.Register(ctx, r)
		if err == nil && f.Host != r.Host {
			return errors.WithStack(&sardineknot.DisplacedError{Key: k})
		}
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		}
	}
}
