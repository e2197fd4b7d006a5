package generation

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// directoryRetryDelay is the delay before a failed call to the directory is
// retried.
const directoryRetryDelay = 50 * time.Millisecond

// registerInitial registers the run before it produces anything, and returns
// the record that the registration replaced, or nil. It fails with a
// ProducedElsewhereError if another host produces the answer, and with a
// NotRunError if the directory does not answer by the deadline.
func (n *run) registerInitial(ctx context.Context) (*sardineknot.AnswerRecord, error) {
	for {
		c, p, err := n.Directory.Register(ctx, n.record)
		if err == nil {
			return p, n.checkProducer(c)
		}
		if n.Clock.Now().Add(directoryRetryDelay).After(n.request.Deadline) {
			return nil, errors.WithStack(&sardineknot.NotRunError{Reason: err.Error(), RetryAfter: retryAfter})
		}
		err = clock.System{}.Sleep(ctx, directoryRetryDelay)
		if err != nil {
			return nil, err
		}
	}
}

// updateRecord sends the current record of the run to the directory. It fails
// with a DeliveryTakenOverError if another host has taken over the answer. An
// error of the directory is logged and ignored, because the record is
// registered again with the next owner of the shard in any case.
func (n *run) updateRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	c, _, err := n.Directory.Register(ctx, n.record)
	if err != nil {
		n.Log.Warn().Stringer("event", sardineknot.LogRecordNotUpdated).Str("request", n.request.Key.String()).Err(err).Send()
		return nil
	}
	if n.checkProducer(c) != nil {
		return errors.WithStack(&sardineknot.DeliveryTakenOverError{Key: n.request.Key})
	}
	return nil
}

// confirmProducer retries until the directory answers whether this host still
// produces the answer. It fails with a DeliveryTakenOverError if another host
// does, and with the error of ctx.
func (n *run) confirmProducer(ctx context.Context) error {
	for {
		c, _, err := n.Directory.Register(ctx, n.record)
		if err == nil && n.checkProducer(c) != nil {
			return errors.WithStack(&sardineknot.DeliveryTakenOverError{Key: n.request.Key})
		}
		if err == nil {
			return nil
		}
		err = clock.System{}.Sleep(ctx, directoryRetryDelay)
		if err != nil {
			return err
		}
	}
}

// checkProducer fails with a ProducedElsewhereError if the current record c
// belongs to another host or to an earlier incarnation of this one.
func (n *run) checkProducer(c sardineknot.AnswerRecord) error {
	if c.Host == n.record.Host && c.Incarnation >= n.record.Incarnation {
		return nil
	}
	return errors.WithStack(&sardineknot.ProducedElsewhereError{Record: c})
}
