package service

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/join"
	"sardineknot.example/sardineknot/internal/backend/breaker"
	"sardineknot.example/sardineknot/internal/backend/retry"
	"sardineknot.example/sardineknot/internal/claims/release"
)

// systemClock is a sardineknot.Clock.
type systemClock struct{}

// Now returns the virtual time of the synctest bubble.
func (systemClock) Now() time.Time { return time.Now() }

// source is a fake configuration source whose configuration never changes.
type source struct{ *sardineknot.Configuration }

func (s source) Current() *sardineknot.Configuration { return s.Configuration }
func (source) Changed() <-chan struct{}              { return nil }

// backend is a fake service client that counts the calls in runs. If the
// function call is not nil, its error is the result of each call.
type backend struct {
	mu   sync.Mutex
	runs int
	call func(ctx context.Context, s sardineknot.BackendServer, n int) error
}

func (b *backend) Call(ctx context.Context, s sardineknot.BackendServer, c sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error) {
	b.mu.Lock()
	b.runs++
	n := b.runs
	b.mu.Unlock()
	if b.call != nil {
		err := b.call(ctx, s, n)
		if err != nil {
			return sardineknot.ServiceAnswer{}, err
		}
	}
	return sardineknot.ServiceAnswer{Status: 200, Body: c.Body}, nil
}

// takeSecond is a call of a backend that takes a second and then fails if its
// context has ended.
func takeSecond(ctx context.Context, _ sardineknot.BackendServer, _ int) error {
	time.Sleep(time.Second)
	return ctx.Err()
}

// loseReply is a call of a backend whose reply is lost.
func loseReply(context.Context, sardineknot.BackendServer, int) error {
	return &sardineknot.UnavailableError{Peer: "a", Cause: errors.New("reset")}
}

// ledger is a fake claim ledger. If fail is not nil, every method returns it as
// the error: claims take effect nevertheless, and releases do not.
type ledger struct {
	mu     sync.Mutex
	holder map[sardineknot.RequestKey]sardineknot.ClaimAttempt
	fail   error
	// delay is the time that a claim takes.
	delay time.Duration
}

func (l *ledger) Claim(_ context.Context, a sardineknot.ClaimAttempt) (sardineknot.ClaimResult, error) {
	l.mu.Lock()
	d := l.delay
	l.mu.Unlock()
	time.Sleep(d)
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.holder[a.Key]
	if !ok {
		l.holder[a.Key] = a
		h = a
	}
	return sardineknot.ClaimResult{Granted: h == a, Holder: h.Holder, HolderIncarnation: h.HolderIncarnation}, l.fail
}

func (l *ledger) Release(_ context.Context, a sardineknot.ClaimAttempt) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fail == nil && l.holder[a.Key] == a {
		delete(l.holder, a.Key)
	}
	return l.fail
}

// holders is a fake claim holder client, which queries the runner of the named
// host directly.
type holders map[sardineknot.EntryHostID]*Runner

func (h holders) AwaitOutcome(ctx context.Context, p sardineknot.ClaimResult, k sardineknot.RequestKey, content [32]byte) (sardineknot.ServiceAnswer, error) {
	r := h[p.Holder]
	if r == nil {
		return sardineknot.ServiceAnswer{}, &sardineknot.UnavailableError{Peer: string(p.Holder), Cause: errors.New("dead")}
	}
	return r.Join(ctx, k, content)
}

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

func TestUnrepeatable(t *testing.T) {
	runVirtual(t, "a repeated call returns the kept answer", func(t *testing.T, f *fixture) {
		expect(t, f.x, "complete")
		expect(t, f.x, "complete")
		expect(t, f.y, "complete")
		expectRuns(t, f, 1)
		time.Sleep(5 * time.Minute)
		expect(t, f.x, "outcome of")
		expect(t, f.y, "outcome of")
		expectRuns(t, f, 1)
	})
	runVirtual(t, "concurrent calls share one run", func(t *testing.T, f *fixture) {
		f.backend.call = func(context.Context, sardineknot.BackendServer, int) error {
			time.Sleep(time.Second)
			return nil
		}
		var g sync.WaitGroup
		for _, r := range []*Runner{f.x, f.y, f.x, f.y} {
			g.Go(func() { expect(t, r, "complete") })
		}
		g.Wait()
		expectRuns(t, f, 1)
	})
	runVirtual(t, "continues after its caller disconnects", func(t *testing.T, f *fixture) {
		f.backend.call = takeSecond
		ctx, cancel := context.WithTimeout(context.Background(), time.Second/2)
		defer cancel()
		_, err := f.x.Run(ctx, newCall(true))
		is.New(t).True(err != nil)
		expect(t, f.x, "complete")
		expectRuns(t, f, 1)
	})
}

func TestUnrepeatableElsewhere(t *testing.T) {
	runVirtual(t, "holder of the claim is dead", func(t *testing.T, f *fixture) {
		expect(t, f.x, "complete")
		delete(f.hosts, "x")
		expect(t, f.y, "outcome of")
		expectRuns(t, f, 1)
	})
	runVirtual(t, "different content", func(t *testing.T, f *fixture) {
		expect(t, f.x, "complete")
		c := newCall(true)
		c.Body = []byte("other")
		expectCall(t, f.x, c, "verk/r1 was used before")
		expectCall(t, f.y, c, "verk/r1 was used before")
	})
	runVirtual(t, "lost reply of the backend server", func(t *testing.T, f *fixture) {
		f.backend.call = loseReply
		expect(t, f.x, "outcome of")
		expect(t, f.x, "outcome of")
		expect(t, f.y, "outcome of")
		expectRuns(t, f, 1)
	})
}

func TestNotRun(t *testing.T) {
	refused := &sardineknot.RefusedError{Server: "a", Status: 503}
	runVirtual(t, "is sent to another backend server", func(t *testing.T, f *fixture) {
		f.backend.call = func(_ context.Context, _ sardineknot.BackendServer, n int) error {
			if n == 1 {
				return refused
			}
			return nil
		}
		expect(t, f.x, "complete")
	})
	runVirtual(t, "can be repeated on any host", func(t *testing.T, f *fixture) {
		f.backend.call = func(_ context.Context, _ sardineknot.BackendServer, n int) error {
			if n <= 2*maxAttempts {
				return refused
			}
			return nil
		}
		expect(t, f.x, "not run")
		time.Sleep(10 * time.Second)
		expect(t, f.x, "not run")
		time.Sleep(10 * time.Second)
		expect(t, f.y, "complete")
	})
	runVirtual(t, "claim with an unknown outcome is released", func(t *testing.T, f *fixture) {
		f.ledger.fail = errors.New("store down")
		expect(t, f.x, "not run")
		expect(t, f.y, "not run")
		expectRuns(t, f, 0)
		f.ledger.fail = nil
		expect(t, f.y, "complete")
		expectRuns(t, f, 1)
	})
	runVirtual(t, "deadline passed during the claim", func(t *testing.T, f *fixture) {
		f.ledger.delay = 21 * time.Second
		go f.x.Run(context.Background(), newCall(true))
		time.Sleep(25 * time.Second)
		expectRuns(t, f, 0)
		f.ledger.mu.Lock()
		f.ledger.delay = 0
		f.ledger.mu.Unlock()
		expect(t, f.y, "complete")
		expectRuns(t, f, 1)
	})
}

func TestAge(t *testing.T) {
	runVirtual(t, "old identifier", func(t *testing.T, f *fixture) {
		c := newCall(true)
		c.Key.ID = "00dc6acf-ab00-7000-8000-000000000000" // created at the bubble's start, 2000-01-01
		expectCall(t, f.x, c, "complete")
		time.Sleep(31 * time.Minute)
		clear(f.ledger.holder) // the claim has expired
		c.Deadline = time.Now().Add(time.Second)
		expectCall(t, f.y, c, "outcome of")
		expectRuns(t, f, 1)
	})
	runVirtual(t, "far deadline", func(t *testing.T, f *fixture) {
		c := newCall(true)
		c.Deadline = time.Now().Add(time.Hour)
		expectCall(t, f.x, c, "X-Deadline")
		expectRuns(t, f, 0)
	})
}

func TestRepeatable(t *testing.T) {
	runVirtual(t, "unresponsive connection", func(t *testing.T, f *fixture) {
		f.backend.call = func(ctx context.Context, _ sardineknot.BackendServer, n int) error {
			if n > 1 {
				return nil
			}
			<-ctx.Done()
			return &sardineknot.UnavailableError{Peer: "a", Cause: ctx.Err()}
		}
		expectCall(t, f.x, newCall(false), "complete")
		expectRuns(t, f, 2)
	})
	runVirtual(t, "first caller disconnects", func(t *testing.T, f *fixture) {
		f.backend.call = takeSecond
		ctx, cancel := context.WithTimeout(context.Background(), time.Second/2)
		defer cancel()
		go f.x.Run(ctx, newCall(false))
		synctest.Wait()
		expectCall(t, f.x, newCall(false), "complete")
		expectRuns(t, f, 1)
	})
	runVirtual(t, "last caller disconnects", func(t *testing.T, f *fixture) {
		ended := false
		f.backend.call = func(ctx context.Context, _ sardineknot.BackendServer, _ int) error {
			<-ctx.Done()
			ended = errors.Is(ctx.Err(), context.Canceled)
			return ctx.Err()
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := f.x.Run(ctx, newCall(false))
		synctest.Wait()
		is.New(t).True(err != nil && ended)
	})
	runVirtual(t, "retry budget limits retries", func(t *testing.T, f *fixture) {
		f.backend.call = loseReply
		for range 200 {
			expectCall(t, f.x, newCall(false), "")
			time.Sleep(time.Minute)
		}
		f.backend.mu.Lock()
		defer f.backend.mu.Unlock()
		is.New(t).True(f.backend.runs <= 200+10+20) // first attempts, initial budget and earned retries
	})
}
