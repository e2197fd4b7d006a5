package plain_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// assigning is a fake sardineknot.PlaceAllocator that assigns all calls to server. It
// records the servers that were excluded and the outcomes.
type assigning struct {
	sardineknot.PlaceAllocator
	server   sardineknot.ServerProcess
	excluded []sardineknot.BackendServerName
	outcomes []sardineknot.PlaceOutcome
}

func (a *assigning) Contended(sardineknot.ServiceName) bool { return true }

func (a *assigning) Take(_ context.Context, _ *sardineknot.Call, excluded []sardineknot.BackendServerName) (sardineknot.Place, error) {
	a.excluded = excluded
	return sardineknot.Place{Server: a.server, Epoch: 1}, nil
}

func (a *assigning) Begin(p sardineknot.Place, s sardineknot.ServerProcess) sardineknot.Place {
	p.Server = s
	return p
}

func (a *assigning) Done(_ sardineknot.Place, o sardineknot.PlaceOutcome) {
	a.outcomes = append(a.outcomes, o)
}

// TestAssignedServer guards against calls to a server that the owner of the service has
// assigned although this host must not use it, and against places that stay taken.
func TestAssignedServer(t *testing.T) {
	test := func(t *testing.T, server string, calls map[sardineknot.BackendServerName]int, outcomes ...sardineknot.PlaceOutcome) {
		synctest.Test(t, func(t *testing.T) {
			r, f := newRefusingRunner(nil)
			b := sardineknot.BackendServer{Name: "b"}
			f.backoffs.Record(time.Now(), b, time.Minute)
			a := &assigning{server: sardineknot.ServerProcess{Name: sardineknot.BackendServerName(server)}}
			r.Places = a
			is := is.New(t)
			is.Equal(len(runMany(t, r, 1, 0)), 0)
			is.Equal(f.calls, calls)
			is.Equal(a.outcomes, outcomes)
			is.Equal(a.excluded, []sardineknot.BackendServerName{"b"})
		})
	}
	only := map[sardineknot.BackendServerName]int{"a": 1}
	t.Run("used", func(t *testing.T) { test(t, "a", only, sardineknot.PlaceAnswered) })
	t.Run("wants no calls", func(t *testing.T) { test(t, "b", only, sardineknot.PlaceUnused, sardineknot.PlaceAnswered) })
	t.Run("unknown", func(t *testing.T) { test(t, "c", only, sardineknot.PlaceUnused, sardineknot.PlaceAnswered) })
}
