package service

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/join"
	"sardineknot.example/sardineknot/internal/backend/breaker"
	"sardineknot.example/sardineknot/internal/backend/retry"
	"sardineknot.example/sardineknot/internal/claims/release"
)

// fixture has two entry hosts, x and y, that share a claim ledger and a
// backend.
type fixture struct {
	backend *backend
	ledger  *ledger
	hosts   holders
	x, y    *Runner
}

func newFixture() *fixture {
	f := &fixture{
		backend: &backend{},
		ledger:  &ledger{holder: make(map[sardineknot.RequestKey]sardineknot.ClaimAttempt)},
		hosts:   make(holders),
	}
	f.x = f.newRunner("x")
	f.y = f.newRunner("y")
	return f
}

func (f *fixture) newRunner(id sardineknot.EntryHostID) *Runner {
	s := sardineknot.BackendServer{Name: "a", Role: sardineknot.RolePlain, Service: "app", Slots: 20, State: sardineknot.BackendJoining}
	o := s
	o.Name = "b"
	r := &Runner{
		Self:           sardineknot.EntryHost{ID: id, Incarnation: 1},
		Service:        f.backend,
		Claims:         f.ledger,
		ClaimRetention: time.Hour,
		Releases:       release.NewQueue(f.ledger, systemClock{}, time.Hour),
		Holders:        f.hosts,
		Calls:          join.NewGroup(time.Minute),
		Circuits:       breaker.NewSet(rand.NewPCG(1, 1)),
		Retries:        retry.NewPolicy(rand.NewPCG(1, 1)),
		Configuration:  source{&sardineknot.Configuration{BackendServers: []sardineknot.BackendServer{s, o}}},
		Clock:          systemClock{},
		Log:            zerolog.Nop(),
	}
	f.hosts[id] = r
	return r
}

func newCall(unrepeatable bool) sardineknot.ServiceCall {
	return sardineknot.ServiceCall{
		Key:      sardineknot.RequestKey{Account: "verk", ID: "r1"},
		Work:     sardineknot.Work{Name: "posting", Service: "app", Unrepeatable: unrepeatable},
		Body:     []byte("body"),
		Deadline: time.Now().Add(20 * time.Second),
	}
}

// runVirtual runs test in a synctest bubble and then lets pending retries and
// retentions run out.
func runVirtual(t *testing.T, name string, test func(t *testing.T, f *fixture)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			test(t, newFixture())
			time.Sleep(10 * time.Minute)
		})
	})
}

// expect runs an unrepeatable call and checks its outcome, which is "complete"
// for the whole answer or else a prefix of the error text.
func expect(t *testing.T, r *Runner, outcome string) {
	t.Helper()
	expectCall(t, r, newCall(true), outcome)
}

func expectCall(t *testing.T, r *Runner, c sardineknot.ServiceCall, outcome string) {
	t.Helper()
	i := is.New(t)
	a, err := r.Run(context.Background(), c)
	if outcome == "complete" {
		i.NoErr(err)
		i.Equal(string(a.Body), "body")
		return
	}
	i.True(err != nil)
	i.True(strings.HasPrefix(err.Error(), outcome)) // outcome
}

func expectRuns(t *testing.T, f *fixture, n int) {
	t.Helper()
	f.backend.mu.Lock()
	defer f.backend.mu.Unlock()
	is.New(t).Equal(f.backend.runs, n) // runs
}
