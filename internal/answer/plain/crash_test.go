package plain_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/plain"
	"sardineknot.example/sardineknot/internal/backend/backoff"
	"sardineknot.example/sardineknot/internal/backend/breaker"
	"sardineknot.example/sardineknot/internal/backend/memory"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// guard is a fake crash guard that records reports and bars calls once it has barAfter
// reports of crashes.
type guard struct {
	barAfter int
	crashes  []sardineknot.BackendServerName
	sound    []sardineknot.BackendServerName
}

func (g *guard) Check(*sardineknot.Call) error {
	if len(g.crashes) < g.barAfter {
		return nil
	}
	return errors.WithStack(&sardineknot.NotRunError{Reason: "barred", RetryAfter: time.Minute})
}

func (g *guard) ReportCrash(p sardineknot.ServerProcess, _ *sardineknot.Call, _ time.Time) {
	g.crashes = append(g.crashes, p.Name)
}

func (g *guard) ReportSound(p sardineknot.ServerProcess, _ *sardineknot.Call, _ time.Time) {
	g.sound = append(g.sound, p.Name)
}

func (g *guard) ReportReplaced(sardineknot.ServerProcess, time.Time) {}

// runGuarded runs a call of a safe route with servers that answer with l in turn.
func runGuarded(ctx context.Context, g *guard, l ...answer) (*servers, error) {
	c := sardineknot.Configuration{Revision: 1}
	for _, n := range []sardineknot.BackendServerName{"a", "b"} {
		c.BackendServers = append(c.BackendServers, sardineknot.BackendServer{
			Name: n, Role: sardineknot.RolePlain, Service: "s", Slots: 4, State: sardineknot.BackendJoining,
		})
	}
	f := &servers{answers: l}
	r := &plain.Runner{
		Source: &source{c}, Forwarder: f, Circuits: breaker.NewSet(rand.NewPCG(1, 1)), Backoffs: backoff.NewSet(rand.NewPCG(1, 2)), Guard: g,
		Budget: &budget{left: 9}, Memory: &memory.Budget{}, Clock: clock.System{}, Log: zerolog.Nop(),
	}
	q := &sardineknot.Route{Kind: sardineknot.RouteSafe, Attempts: 2}
	return f, r.Run(ctx, &sardineknot.Call{ID: "c", Service: "s", Route: q, Deadline: time.Now().Add(time.Second)}, &writer{})
}

// truncated is an answer that the server breaks off.
var truncated = answer{status: http.StatusOK, body: "ye", err: errors.WithStack(&sardineknot.UnavailableError{Peer: "a", Cause: io.ErrUnexpectedEOF})}

// TestBarredCall guards against a call that reaches a server although servers have
// ended under it.
func TestBarredCall(t *testing.T) {
	t.Run("known before", func(t *testing.T) {
		f, err := runGuarded(t.Context(), &guard{}, good)
		is.New(t).Equal(f.calls, 0)
		assertNotRun(t, err, true)
	})
	t.Run("found when the first server has ended", func(t *testing.T) {
		f, err := runGuarded(t.Context(), &guard{barAfter: 1}, unknown, good)
		is.New(t).Equal(f.calls, 1)
		assertNotRun(t, err, false) // it has run
	})
}

// TestCrashReports guards against crashes that are not reported, and against reports of
// calls that ended no server.
func TestCrashReports(t *testing.T) {
	reports := func(t *testing.T, crashes, sound int, l ...answer) {
		t.Helper()
		g := &guard{barAfter: 9}
		_, _ = runGuarded(t.Context(), g, l...)
		is.New(t).Equal([]int{len(g.crashes), len(g.sound)}, []int{crashes, sound})
	}
	t.Run("no answer", func(t *testing.T) { reports(t, 1, 1, unknown, good) })
	t.Run("an answer that breaks off", func(t *testing.T) { reports(t, 1, 1, truncated, good) })
	t.Run("each attempt", func(t *testing.T) { reports(t, 2, 0, unknown, unknown) })
	t.Run("a server error", func(t *testing.T) { reports(t, 0, 2, failed, good) })
	t.Run("a refusal", func(t *testing.T) { reports(t, 0, 1, refused, good) })
	t.Run("a server that is not reached", func(t *testing.T) { reports(t, 0, 1, unsent, good) })
	t.Run("a deadline that has passed", func(t *testing.T) {
		reports(t, 0, 1, answer{err: errors.WithStack(&sardineknot.UnavailableError{Peer: "a", Cause: context.DeadlineExceeded})}, good)
	})
	t.Run("a server behind another host", func(t *testing.T) {
		reports(t, 1, 1, answer{err: errors.WithStack(&sardineknot.UnavailableError{Peer: "a", Through: "h", ServerEnded: true, Cause: io.ErrUnexpectedEOF})}, good)
	})
	t.Run("another host on the way", func(t *testing.T) {
		reports(t, 0, 1, answer{err: errors.WithStack(&sardineknot.UnavailableError{Peer: "a", Through: "h", Cause: io.ErrUnexpectedEOF})}, good)
	})
	t.Run("a caller that is gone", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		g := &guard{barAfter: 9}
		_, _ = runGuarded(ctx, g, unknown)
		is.New(t).Equal(len(g.crashes), 0)
	})
}
