package generation

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// directoryPause is the pause before the directory is asked again.
const directoryPause = 50 * time.Millisecond

// registerFirst registers the run before it produces anything, and returns the
// record that it replaced, or nil. It fails with an ElsewhereError if another
// host produces the answer, and with a NotRunError if the directory does not
// answer by the deadline.
func (n *run) registerFirst(ctx context.Context) (*sardineknot.AnswerRecord, error) {
	for {
		c, p, err := n.Directory.Register(ctx, n.record)
		if err == nil {
			return p, n.check(c)
		}
		if n.Clock.Now().Add(directoryPause).After(n.request.Deadline) {
			return nil, errors.WithStack(&sardineknot.NotRunError{Reason: err.Error(), RetryAfter: retryAfter})
		}
		select {
		case <-time.After(directoryPause):
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		}
	}
}

// register brings the record of the run up to date. It fails with a
// DisplacedError if another host has taken the answer over. A directory that
// does not answer is passed over: its next owner is told in any case.
func (n *run) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recordWait)
	defer cancel()
	c, _, err := n.Directory.Register(ctx, n.record)
	if err != nil {
		n.Log.Warn().Stringer("event", sardineknot.LogRecordNotUpdated).Str("request", n.request.Key.String()).Err(err).Send()
		return nil
	}
	if n.check(c) != nil {
		return errors.WithStack(&sardineknot.DisplacedError{Key: n.request.Key})
	}
	return nil
}

// confirm asks the directory, until it answers, whether this host still
// produces the answer. It fails with a DisplacedError if not, and with the
// error of ctx.
func (n *run) confirm(ctx context.Context) error {
	for {
		c, _, err := n.Directory.Register(ctx, n.record)
		if err == nil && n.check(c) != nil {
			return errors.WithStack(&sardineknot.DisplacedError{Key: n.request.Key})
		}
		if err == nil {
			return nil
		}
		select {
		case <-time.After(directoryPause):
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		}
	}
}

// check fails with an ElsewhereError if the record c in force is not that of
// this host.
func (n *run) check(c sardineknot.AnswerRecord) error {
	if c.Host == n.record.Host && c.Incarnation >= n.record.Incarnation {
		return nil
	}
	return errors.WithStack(&sardineknot.ElsewhereError{Record: c})
}
