package generation_test

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/budget"
)

// checkEnd checks that the answer ended within limit with an error of type E.
func checkEnd[E error](t *testing.T, x *fixture, offset int, limit time.Duration) {
	t.Helper()
	d, err := x.produce(t.Context(), offset)
	var e E
	is.New(t).True(errors.As(err, &e))
	is.New(t).True(d <= limit)
}

// checkComplete checks that the answer is complete and which attempts ran a
// prefill.
func checkComplete(t *testing.T, x *fixture, prefilled ...string) {
	t.Helper()
	_, err := x.produce(t.Context(), 0)
	is.New(t).Equal(err, io.EOF)
	is.New(t).Equal(x.buffer.Len(), 10)
	is.New(t).Equal(x.engines.prefilled, prefilled)
}

func newUnavailableError() error {
	return &sardineknot.UnavailableError{Peer: "d", Cause: io.ErrUnexpectedEOF}
}

func TestRunDeadline(t *testing.T) {
	run(t, "expires in the queue without running", func(t *testing.T, x *fixture) {
		x.slots.full = true
		checkEnd[*sardineknot.NotRunError](t, x, 0, firstToken)
	})
	run(t, "expires in the prefill and fails", func(t *testing.T, x *fixture) {
		x.engines.prefill = func(ctx context.Context, _ sardineknot.EngineRequest) error {
			<-ctx.Done()
			return newUnavailableError()
		}
		checkEnd[*sardineknot.RequestFailedError](t, x, 0, firstToken)
		is.New(t).Equal(x.engines.cancelled, []string{"a/1/0"})
	})
	run(t, "stalled transfer leaves time for another attempt", func(t *testing.T, x *fixture) {
		d := x.engines.decode
		x.engines.decode = func(ctx context.Context, r sardineknot.EngineRequest) (sardineknot.TokenStream, error) {
			if r.Attempt > 0 {
				return d(ctx, r)
			}
			<-ctx.Done()
			return nil, newUnavailableError()
		}
		checkComplete(t, x, "a/1/0", "a/1/1")
	})
}

func TestRunRetries(t *testing.T) {
	run(t, "retry continues from the generated tokens after an engine crash", func(t *testing.T, x *fixture) {
		d := x.engines.decode
		x.engines.decode = func(ctx context.Context, r sardineknot.EngineRequest) (sardineknot.TokenStream, error) {
			if r.Attempt > 0 {
				is.New(t).Equal(len(r.PreviousTokens), 4)
				return d(ctx, r)
			}
			return &stream{0, 4, &sardineknot.InterruptedError{Offset: 4}}, nil
		}
		checkComplete(t, x, "a/1/0", "a/1/1")
		is.New(t).True(slices.Contains(x.slots.events, sardineknot.JobFailed))
		is.New(t).Equal(x.engines.cancelled, []string{"a/1/0", "a/1/0"})
	})
	run(t, "retry budget limits attempts", func(t *testing.T, x *fixture) {
		x.runner.Retries = budget.NewBudget(0, 1)
		x.engines.prefill = func(context.Context, sardineknot.EngineRequest) error { return newUnavailableError() }
		checkEnd[*sardineknot.RequestFailedError](t, x, 0, time.Second)
		is.New(t).Equal(len(x.engines.prefilled), 2)
	})
	run(t, "no retry after the deadline", func(t *testing.T, x *fixture) {
		x.engines.prefill = func(context.Context, sardineknot.EngineRequest) error {
			time.Sleep(firstToken - time.Millisecond)
			return newUnavailableError()
		}
		checkEnd[*sardineknot.RequestFailedError](t, x, 0, firstToken)
		is.New(t).Equal(len(x.engines.prefilled), 1)
	})
}

func TestRunElsewhere(t *testing.T) {
	run(t, "does not run while another host produces the answer", func(t *testing.T, x *fixture) {
		x.directory.producedElsewhere = true
		checkEnd[*sardineknot.ProducedElsewhereError](t, x, 0, 0)
		is.New(t).Equal(len(x.engines.prefilled), 0)
	})
	run(t, "attempt numbers continue in a later run", func(t *testing.T, x *fixture) {
		x.directory.previous = &sardineknot.AnswerRecord{Host: "other", Attempt: 2, Ended: true}
		checkComplete(t, x, "a/1/6")
	})
	run(t, "takes over the attempt of a dead host", func(t *testing.T, x *fixture) {
		x.directory.previous = &sardineknot.AnswerRecord{Host: "other", DecodeEngine: "d", Attempt: 2}
		x.engines.resume = func(_ context.Context, r sardineknot.EngineRequest, o int) (sardineknot.TokenStream, error) {
			is.New(t).Equal(r.EngineRequestID(), "a/1/2")
			is.New(t).Equal(r.Owner, self.ID)
			return &stream{o, 10, io.EOF}, nil
		}
		checkComplete(t, x)
	})
	run(t, "restarts if the engine lost the attempt and the caller has no tokens", func(t *testing.T, x *fixture) {
		x.directory.previous = &sardineknot.AnswerRecord{Host: "other", DecodeEngine: "d", Attempt: 2}
		checkComplete(t, x, "a/1/6")
	})
	run(t, "fails if the engine lost the attempt and the caller has tokens", func(t *testing.T, x *fixture) {
		x.directory.previous = &sardineknot.AnswerRecord{Host: "other", DecodeEngine: "d", Attempt: 2}
		checkEnd[*sardineknot.AnswerLostError](t, x, 3, 0)
		is.New(t).Equal(len(x.engines.prefilled), 0)
	})
	run(t, "resumes at the offset of the caller if the engine lost earlier tokens", func(t *testing.T, x *fixture) {
		x.directory.previous = &sardineknot.AnswerRecord{Host: "other", DecodeEngine: "d", Attempt: 2}
		x.engines.resume = func(_ context.Context, _ sardineknot.EngineRequest, o int) (sardineknot.TokenStream, error) {
			if o == 0 {
				return nil, &sardineknot.RefusedError{Server: "d"}
			}
			return &stream{o, 10, io.EOF}, nil
		}
		_, err := x.produce(t.Context(), 3)
		is.New(t).Equal(err, io.EOF)
		is.New(t).Equal(len(x.buffer.Tokens()), 7)
	})
}
