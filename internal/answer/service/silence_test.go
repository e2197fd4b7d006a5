package service

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
)

const (
	// silence is the time after which the silent servers of these tests answer.
	silence = 2 * time.Second
	// callTime is the time from the start of a call to its deadline. Half of it
	// is shorter than silence.
	callTime = 3 * time.Second
)

// answerAfter returns a function for backend.call that answers after delay, or
// fails when its context is done.
func answerAfter(delay func(s sardineknot.BackendServer) time.Duration) func(context.Context, sardineknot.BackendServer, int) error {
	return func(ctx context.Context, s sardineknot.BackendServer, _ int) error {
		if (clock.System{}).Sleep(ctx, delay(s)) != nil {
			return &sardineknot.UnavailableError{Peer: string(s.Name), Cause: ctx.Err()}
		}
		return nil
	}
}

// silent is a delay for answerAfter that is the same for every server.
func silent(sardineknot.BackendServer) time.Duration { return silence }

// exhaustRetries uses up the retry budget of r.
func exhaustRetries(r *Runner) {
	for ok := true; ok; {
		_, ok = r.Retries.Next(1)
	}
}

// expectAnswer checks that r answers a repeatable call after the duration took,
// and with how many runs.
func expectAnswer(t *testing.T, f *fixture, took time.Duration, runs int) {
	t.Helper()
	n := time.Now()
	c := newCall(false)
	c.Deadline = n.Add(callTime)
	expectCall(t, f.x, c, "complete")
	is.New(t).Equal(time.Since(n), took) // time taken
	expectRuns(t, f, runs)
}

// Guards against calls that fail although their server would have answered in
// time: the call is cancelled because the server is silent, and what is to
// replace it is not possible or answers later than the server would have.
func TestSilentServerKeepsCall(t *testing.T) {
	runVirtual(t, "retry budget is exhausted", func(t *testing.T, f *fixture) {
		f.backend.call = answerAfter(silent)
		exhaustRetries(f.x)
		expectAnswer(t, f, silence, 1)
	})
	runVirtual(t, "no other server has a free slot", func(t *testing.T, f *fixture) {
		f.backend.call = answerAfter(silent)
		l := f.x.Configuration.Current().BackendServers[:1]
		l[0].Slots = 1
		f.x.Configuration = source{&sardineknot.Configuration{BackendServers: l}}
		expectAnswer(t, f, silence, 1)
	})
	runVirtual(t, "other servers refuse the call", func(t *testing.T, f *fixture) {
		a := answerAfter(silent)
		f.backend.call = func(ctx context.Context, s sardineknot.BackendServer, n int) error {
			if n > 1 {
				return &sardineknot.RefusedError{Server: s.Name, Status: 503}
			}
			return a(ctx, s, n)
		}
		expectAnswer(t, f, silence, maxAttempts)
	})
	runVirtual(t, "other server is silent as well", func(t *testing.T, f *fixture) {
		f.backend.call = answerAfter(silent)
		expectAnswer(t, f, silence, 2)
	})
}

// Guards against calls that wait for an unresponsive server again and again,
// because an attempt whose server was silent until another one answered does
// not count as a failure of that server.
func TestUnresponsiveServerIsAvoided(t *testing.T) {
	runVirtual(t, "gets no call while the other server answers", func(t *testing.T, f *fixture) {
		n := 0
		f.backend.call = answerAfter(func(s sardineknot.BackendServer) time.Duration {
			if s.Name == "b" {
				return 0
			}
			n++
			return time.Hour
		})
		for range 20 {
			f.x.Retries.RecordCall()
			expectCall(t, f.x, newCall(false), "complete")
			synctest.Wait()
		}
		is.New(t).Equal(n, 1) // calls of the unresponsive server
	})
}
