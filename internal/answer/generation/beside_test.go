package generation_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/budget"
)

// pausingStream is a fake stream of ten tokens that is silent for some time before
// some of them.
type pausingStream struct {
	ctx    context.Context
	next   int
	pauses map[int]time.Duration
	wake   time.Time
	silent bool
}

func (s *pausingStream) Next() (sardineknot.Token, error) {
	if d, ok := s.pauses[s.next]; ok && s.wake.IsZero() {
		s.wake = time.Now().Add(d)
	}
	sleep(s.ctx, min(progress, time.Until(s.wake)))
	s.silent = s.ctx.Err() == nil && time.Now().Before(s.wake)
	if s.silent || s.ctx.Err() != nil {
		return sardineknot.Token{}, &sardineknot.InterruptedError{Offset: s.next}
	}
	if s.next == 10 {
		return sardineknot.Token{}, io.EOF
	}
	delete(s.pauses, s.next)
	s.next++
	s.wake = time.Time{}
	return sardineknot.Token{Index: s.next - 1}, nil
}

func (s *pausingStream) Silent() bool { return s.silent }
func (s *pausingStream) Close() error { return nil }

// TestAttemptsBeside guards against answers that the attempts beside a silent one
// spoil: tokens that are lost or duplicated, and attempts that are never cancelled.
func TestAttemptsBeside(t *testing.T) {
	run(t, "the engine is silent twice", func(t *testing.T, x *fixture) {
		x.runner.Retries = budget.NewBudget(0, 10)
		x.engines.decode = func(ctx context.Context, r sardineknot.EngineRequest) (sardineknot.TokenStream, error) {
			if r.Attempt > 0 {
				sleep(ctx, time.Hour)
				return nil, newUnavailableError()
			}
			return &pausingStream{ctx: ctx, pauses: map[int]time.Duration{3: 4 * time.Second, 6: 4 * time.Second}}, nil
		}
		checkComplete(t, x, "a/1/0", "a/1/1", "a/1/2")
		is.New(t).Equal(x.engines.cancelled, []string{"a/1/1", "a/1/1", "a/1/2", "a/1/2"}) // at both engines
	})
	run(t, "another engine goes on, and the silent one is cancelled", func(t *testing.T, x *fixture) {
		x.runner.Retries = budget.NewBudget(0, 10)
		x.engines.decode = func(ctx context.Context, r sardineknot.EngineRequest) (sardineknot.TokenStream, error) {
			if r.Attempt > 0 {
				return &pausingStream{ctx: ctx, next: len(r.PreviousTokens)}, nil
			}
			return &pausingStream{ctx: ctx, pauses: map[int]time.Duration{3: time.Hour}}, nil
		}
		n := time.Now()
		checkComplete(t, x, "a/1/0", "a/1/1")
		is.New(t).True(time.Since(n) < 4*progress)
		is.New(t).Equal(x.engines.cancelled, []string{"a/1/0", "a/1/0"})
	})
	run(t, "all engines are silent for good", func(t *testing.T, x *fixture) {
		x.runner.Retries = budget.NewBudget(0, 10)
		x.engines.decode = func(ctx context.Context, r sardineknot.EngineRequest) (sardineknot.TokenStream, error) {
			return &pausingStream{ctx: ctx, next: len(r.PreviousTokens), pauses: map[int]time.Duration{3: time.Hour}}, nil
		}
		checkEnd[*sardineknot.InterruptedError](t, x, 0, 3*firstToken)
	})
}

// TestRandomSilences plays engines that are silent or late at random, and attempts
// that fail at random, but for the first.
func TestRandomSilences(t *testing.T) {
	for s := range uint64(300) {
		run(t, fmt.Sprint("seed ", s), func(t *testing.T, x *fixture) {
			d := rand.New(rand.NewPCG(s, 3))
			x.runner.Retries = budget.NewBudget(0, 10)
			x.engines.prefill = func(ctx context.Context, r sardineknot.EngineRequest) error {
				sleep(ctx, time.Duration(d.IntN(3000))*time.Millisecond)
				if r.Attempt > 0 && d.IntN(3) == 0 {
					return newUnavailableError()
				}
				return ctx.Err()
			}
			x.engines.decode = func(ctx context.Context, r sardineknot.EngineRequest) (sardineknot.TokenStream, error) {
				sleep(ctx, time.Duration(d.IntN(1500))*time.Millisecond)
				p := map[int]time.Duration{d.IntN(10): time.Duration(d.IntN(6000)) * time.Millisecond}
				return &pausingStream{ctx: ctx, next: len(r.PreviousTokens), pauses: p}, ctx.Err()
			}
			_, err := x.produce(t.Context(), 0)
			is.New(t).Equal(err, io.EOF)
			is.New(t).Equal(x.buffer.Len(), 10)
			for i, k := range x.buffer.Tokens() {
				is.New(t).Equal(k.Index, i)
			}
		})
	}
}
