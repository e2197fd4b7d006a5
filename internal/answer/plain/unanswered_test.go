package plain_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
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

// silentServer is a fake sardineknot.Forwarder whose server "a" never answers. The others do
// so at once.
type silentServer struct {
	sardineknot.Forwarder
	other servers
	calls int
}

func (f *silentServer) Forward(ctx context.Context, s sardineknot.BackendServer, c *sardineknot.Call, o sardineknot.ForwardOptions) (*sardineknot.Response, error) {
	if s.Name != "a" {
		f.other = servers{answers: []answer{good}}
		return f.other.Forward(ctx, s, c, o)
	}
	f.calls++
	<-ctx.Done()
	return nil, errors.WithStack(&sardineknot.UnavailableError{Peer: "a", Cause: ctx.Err()})
}

// TestUnansweredCalls guards against a server that never gives a whole answer and keeps its
// share of the calls, because its callers leave before the deadline. The load is a call each
// 100 ms for a minute, with callers that leave after 0.9 s or 0.1 s.
func TestUnansweredCalls(t *testing.T) {
	for _, c := range []struct {
		patience time.Duration
		least    int
		most     int
	}{
		{900 * time.Millisecond, 4, 15},
		{100 * time.Millisecond, 50, 600}, // callers that leave soon show nothing about the server
	} {
		t.Run(c.patience.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := sardineknot.Configuration{Revision: 1}
				for _, n := range []sardineknot.BackendServerName{"a", "b"} {
					q.BackendServers = append(q.BackendServers, sardineknot.BackendServer{Name: n, Role: sardineknot.RolePlain, Service: "s", Slots: 20, State: sardineknot.BackendJoining})
				}
				f := &silentServer{}
				r := &plain.Runner{
					Source: &source{q}, Forwarder: f, Circuits: breaker.NewSet(rand.NewPCG(1, 1)), Backoffs: backoff.NewSet(rand.NewPCG(1, 2)), Guard: openGuard{},
					Budget: &budget{left: 1000}, Memory: &memory.Budget{}, Clock: clock.System{}, Log: zerolog.Nop(),
				}
				for b := time.Now(); time.Since(b) < time.Minute; time.Sleep(100 * time.Millisecond) {
					ctx, cancel := context.WithCancel(t.Context())
					time.AfterFunc(c.patience, cancel)
					_ = r.Run(ctx, &sardineknot.Call{ID: "c", Service: "s", Route: &sardineknot.Route{Kind: sardineknot.RouteSafe, Attempts: 2}, Deadline: time.Now().Add(2 * time.Second)}, &writer{})
				}
				t.Log(f.calls)
				is.New(t).True(f.calls >= c.least && f.calls <= c.most)
			})
		})
	}
}
