package plain_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/plain"
	"sardineknot.example/sardineknot/internal/backend/backoff"
	"sardineknot.example/sardineknot/internal/backend/breaker"
	"sardineknot.example/sardineknot/internal/backend/memory"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// pausingGuard is a fake crash guard that takes pause for each check, in which the process
// is paused.
type pausingGuard struct {
	openGuard
	pause time.Duration
}

func (g pausingGuard) Check(*sardineknot.Call) error {
	time.Sleep(g.pause)
	return nil
}

// TestOverdueCall guards against a call that is sent after its deadline because the process
// was paused, and no timer has run yet since then.
func TestOverdueCall(t *testing.T) {
	for _, pause := range []time.Duration{0, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := sardineknot.Configuration{Revision: 1, BackendServers: []sardineknot.BackendServer{
				{Name: "a", Role: sardineknot.RolePlain, Service: "s", Slots: 4, State: sardineknot.BackendJoining},
			}}
			f := &servers{answers: []answer{good}}
			r := &plain.Runner{
				Source: &source{c}, Forwarder: f, Circuits: breaker.NewSet(rand.NewPCG(1, 1)), Backoffs: backoff.NewSet(rand.NewPCG(1, 2)),
				Guard: pausingGuard{pause: pause}, Budget: &budget{}, Memory: &memory.Budget{}, Clock: clock.System{}, Log: zerolog.Nop(),
			}
			q := &sardineknot.Route{Kind: sardineknot.RouteUnsafe, Attempts: 1}
			err := r.Run(t.Context(), &sardineknot.Call{ID: "c", Service: "s", Route: q, Deadline: time.Now().Add(time.Second)}, &writer{})
			assertNotRun(t, err, pause > 0)
			is.Equal(f.calls == 0, pause > 0)
		})
	}
}
