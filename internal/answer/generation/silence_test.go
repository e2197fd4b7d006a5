package generation_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/budget"
)

const (
	// progress is the time after which a silentStream reports a silence.
	progress = time.Second
	// tokensBefore is the number of tokens before the silence of an engine.
	tokensBefore = 4
)

// silentStream is a fake stream of ten tokens from an engine that is silent
// after tokensBefore tokens until the time wake.
type silentStream struct {
	// ctx is the context of the exchange, which ends the stream early.
	ctx            context.Context
	next           int
	wake           time.Time
	silent, closed bool
}

// sleep waits for d, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (s *silentStream) Next() (sardineknot.Token, error) {
	if s.next >= tokensBefore && !s.closed {
		sleep(s.ctx, min(progress, time.Until(s.wake)))
	}
	s.silent = s.next >= tokensBefore && !s.closed && s.ctx.Err() == nil && time.Now().Before(s.wake)
	if s.silent || s.closed || s.ctx.Err() != nil {
		return sardineknot.Token{}, &sardineknot.InterruptedError{Offset: s.next}
	}
	if s.next == 10 {
		return sardineknot.Token{}, io.EOF
	}
	s.next++
	return sardineknot.Token{Index: s.next - 1}, nil
}

func (s *silentStream) Silent() bool { return s.silent }

func (s *silentStream) Close() error {
	s.closed = true
	return nil
}

// silence makes the engine silent for d in the middle of its stream, and
// exhausts the retry budget.
func (x *fixture) silence(d time.Duration) {
	w := time.Now().Add(d)
	x.runner.Retries = budget.NewBudget(0, 0)
	x.engines.decode = func(ctx context.Context, _ sardineknot.EngineRequest) (sardineknot.TokenStream, error) {
		return &silentStream{ctx: ctx, wake: w}, nil
	}
}

// acceptResumes lets the silent engine resume its stream, which stays silent for
// d from now.
func (x *fixture) acceptResumes(d time.Duration) {
	w := time.Now().Add(d)
	x.engines.resume = func(ctx context.Context, _ sardineknot.EngineRequest, o int) (sardineknot.TokenStream, error) {
		return &silentStream{ctx: ctx, next: o, wake: w}, nil
	}
}

// failResumes lets each resume end without a response after progress.
func (x *fixture) failResumes() {
	x.engines.resume = func(ctx context.Context, _ sardineknot.EngineRequest, _ int) (sardineknot.TokenStream, error) {
		sleep(ctx, progress)
		return nil, newUnavailableError()
	}
}

// Guards against answers that break off although their engine goes on: the host
// closes the stream of an engine that is silent for a moment, and the engine
// does not resume it.
func TestSilentEngineKeepsStream(t *testing.T) {
	run(t, "two seconds, the stream is resumed", func(t *testing.T, x *fixture) {
		x.silence(2 * time.Second)
		x.acceptResumes(2 * time.Second)
		checkComplete(t, x, "a/1/0")
	})
	run(t, "two seconds, the engine refuses to resume", func(t *testing.T, x *fixture) {
		x.silence(2 * time.Second)
		checkComplete(t, x, "a/1/0")
	})
	run(t, "two seconds, the resume has no response", func(t *testing.T, x *fixture) {
		x.silence(2 * time.Second)
		x.failResumes()
		checkComplete(t, x, "a/1/0")
	})
}

// Guards against answers that break off although their engine goes on: the host
// gives up an engine that is silent for longer than the resumptions take, and no
// other attempt is allowed.
func TestSilentEngineIsKeptWithoutRetry(t *testing.T) {
	const long = 4 * time.Second
	run(t, "retry budget is exhausted", func(t *testing.T, x *fixture) {
		x.silence(long)
		x.acceptResumes(long)
		checkComplete(t, x, "a/1/0")
	})
	run(t, "retry budget is exhausted, the engine refuses to resume", func(t *testing.T, x *fixture) {
		x.silence(long)
		checkComplete(t, x, "a/1/0")
	})
	run(t, "last attempt", func(t *testing.T, x *fixture) {
		x.silence(long)
		x.runner.Retries = budget.NewBudget(0, 10)
		x.engines.prefill = func(_ context.Context, r sardineknot.EngineRequest) error {
			if r.Attempt < 3 {
				return newUnavailableError()
			}
			return nil
		}
		checkComplete(t, x, "a/1/0", "a/1/1", "a/1/2", "a/1/3")
	})
	run(t, "stream of a dead host whose caller has tokens", func(t *testing.T, x *fixture) {
		x.directory.previous = &sardineknot.AnswerRecord{Host: "other", DecodeEngine: "d", Attempt: 2}
		w := time.Now().Add(long)
		x.engines.resume = func(ctx context.Context, _ sardineknot.EngineRequest, o int) (sardineknot.TokenStream, error) {
			if o == 0 {
				return nil, &sardineknot.RefusedError{Server: "d"}
			}
			return &silentStream{ctx: ctx, next: o, wake: w}, nil
		}
		_, err := x.produce(t.Context(), tokensBefore)
		is.New(t).Equal(err, io.EOF)
		is.New(t).Equal(x.buffer.Len(), 10)
	})
}

// Guards against answers that never end, because their engine is silent for good
// and no other attempt is allowed.
func TestSilentEngineIsLeftInTheEnd(t *testing.T) {
	run(t, "after the latency target of a first token", func(t *testing.T, x *fixture) {
		x.silence(time.Hour)
		x.acceptResumes(time.Hour)
		checkEnd[*sardineknot.InterruptedError](t, x, 0, firstToken+progress)
	})
}

// Guards against answers that come late because the host waits longer for an
// unresponsive engine, which may go on, than the resumptions take.
func TestUnresponsiveEngineIsLeft(t *testing.T) {
	run(t, "three seconds after its last token", func(t *testing.T, x *fixture) {
		d := x.engines.decode
		x.silence(time.Hour)
		x.failResumes()
		x.runner.Retries = budget.NewBudget(0, 1)
		e := x.engines.decode
		x.engines.decode = func(ctx context.Context, r sardineknot.EngineRequest) (sardineknot.TokenStream, error) {
			if r.Attempt > 0 {
				return d(ctx, r)
			}
			return e(ctx, r)
		}
		n := time.Now()
		checkComplete(t, x, "a/1/0", "a/1/1")
		is.New(t).True(time.Since(n) < 3*progress+100*time.Millisecond) // three silences and the backoff
	})
}

// Guards against a fake of a silent engine that hides a lost connection: a
// closed stream has no more tokens.
func TestSilentStreamIsClosed(t *testing.T) {
	s := &silentStream{ctx: t.Context()}
	is.New(t).NoErr(s.Close())
	_, err := s.Next()
	is.New(t).True(err != nil && !s.Silent())
}

// Guards against requests that fail although their engine would have sent the
// first token in time: the decode is cancelled after half of the remaining time,
// and no other attempt is allowed.
func TestLateFirstToken(t *testing.T) {
	run(t, "retry budget is exhausted", func(t *testing.T, x *fixture) {
		x.lateDecode(firstToken * 6 / 10)
		x.runner.Retries = budget.NewBudget(0, 0)
		checkComplete(t, x, "a/1/0")
	})
	run(t, "last attempt", func(t *testing.T, x *fixture) {
		x.lateDecode(firstToken * 6 / 10)
		x.engines.prefill = func(_ context.Context, r sardineknot.EngineRequest) error {
			if r.Attempt < 3 {
				return newUnavailableError()
			}
			return nil
		}
		checkComplete(t, x, "a/1/0", "a/1/1", "a/1/2", "a/1/3")
	})
	run(t, "no token by the deadline", func(t *testing.T, x *fixture) {
		x.lateDecode(firstToken + time.Second)
		x.runner.Retries = budget.NewBudget(0, 0)
		checkEnd[*sardineknot.RequestFailedError](t, x, 0, firstToken)
	})
}

// lateDecode lets each decode wait in the engine's queue for d.
func (x *fixture) lateDecode(d time.Duration) {
	e := x.engines.decode
	x.engines.decode = func(ctx context.Context, r sardineknot.EngineRequest) (sardineknot.TokenStream, error) {
		select {
		case <-time.After(d):
			return e(ctx, r)
		case <-ctx.Done():
			return nil, newUnavailableError()
		}
	}
}

// slowStream is a fake stream that pauses for firstToken after its first token.
type slowStream struct{ stream }

func (s *slowStream) Next() (sardineknot.Token, error) {
	if s.next == 1 {
		time.Sleep(firstToken)
	}
	return s.stream.Next()
}

// Guards against a retry budget that is used up without retries, because the
// time limit of a decode that has ended charges the next attempt.
func TestEndedDecodeChargesNothing(t *testing.T) {
	run(t, "decode fails at once", func(t *testing.T, x *fixture) {
		x.runner.Retries = budget.NewBudget(0, 2)
		x.engines.decode = func(_ context.Context, r sardineknot.EngineRequest) (sardineknot.TokenStream, error) {
			if r.Attempt == 0 {
				return nil, newUnavailableError()
			}
			return &slowStream{stream{0, 10, io.EOF}}, nil
		}
		checkComplete(t, x, "a/1/0", "a/1/1")
		is.New(t).True(x.runner.Retries.AllowRetry()) // only one of two retries is used
	})
}

// Guards against answers and requests that fail although their engine goes on in
// time: the host leaves the silent engine for another attempt that is allowed,
// and that attempt fails or takes as long.
func TestSilentEngineIsKeptBesideRetry(t *testing.T) {
	run(t, "other attempts fail in the prefill", func(t *testing.T, x *fixture) {
		x.silence(4 * time.Second)
		x.acceptResumes(4 * time.Second)
		x.runner.Retries = budget.NewBudget(0, 10)
		x.engines.prefill = func(_ context.Context, r sardineknot.EngineRequest) error {
			if r.Attempt > 0 {
				return newUnavailableError()
			}
			return nil
		}
		_, err := x.produce(t.Context(), 0)
		is.New(t).Equal(err, io.EOF)
	})
	run(t, "other attempts have a late first token as well", func(t *testing.T, x *fixture) {
		x.lateDecode(firstToken * 6 / 10)
		_, err := x.produce(t.Context(), 0)
		is.New(t).Equal(err, io.EOF)
	})
}
