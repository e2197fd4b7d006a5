package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/stopping"
)

// checkTime fails with a NotRunError if the host is stopping and call may not end before it
// closes its connections. A call ends at its deadline at the latest. Streams, which mostly end
// much sooner, are admitted here: their runner has their lengths, and refuses those that
// may not end in time.
func (h *Handler) checkTime(call *sardineknot.Call) error {
	e, ok := h.Stop.EndsAt()
	if !ok || call.Generation != nil || !call.Deadline.After(e.Add(-stopping.AnswerMargin)) {
		return nil
	}
	// Other hosts can run it at once.
	return errors.WithStack(&sardineknot.NotRunError{Reason: "the host stops before the call may end"})
}

// limitUntilHeader returns a copy of ctx that ends stopping.AnswerMargin before the host closes its
// connections, unless the header of the answer has been sent by writer, so that the caller gets an
// error status at least. The function that it returns ends the context, and must be called.
func (h *Handler) limitUntilHeader(ctx context.Context, writer *answerWriter) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := func(endsAt time.Time) time.Time { return endsAt.Add(-stopping.AnswerMargin) }
	writer.onHeader = h.Stop.AfterFunc(h.Clock.Now(), t, func(endsAt time.Time) {
		cancel(errors.WithStack(&sardineknot.StoppingError{EndsAt: endsAt}))
	})
	return ctx, func() {
		writer.onHeader()
		cancel(nil)
	}
}

// logStop returns a function that adds the time from the begin of the host's stop to now to a
// log line. It adds nothing if the host is not stopping.
func (h *Handler) logStop(now time.Time) func(*zerolog.Event) {
	return func(e *zerolog.Event) {
		if d, ok := h.Stop.Elapsed(now); ok {
			e.Dur("stopping_ms", d)
		}
	}
}
