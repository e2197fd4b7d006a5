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

type systemClock struct{}

// Now returns the virtual time within a synctest bubble.
func (systemClock) Now() time.Time { return time.Now() }

// source is a configuration source that never changes.
type source struct{ *sardineknot.Configuration }

func (s source) Current() *sardineknot.Configuration { return s.Configuration }
func (source) Changed() <-chan struct{}              { return nil }

// backend counts the calls that ran. call, if not nil, decides their results.
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

// ledger is a claim ledger in memory. fail, if not nil, fails calls after they
// took effect.
type ledger struct {
	mu     sync.Mutex
	holder map[sardineknot.RequestKey]sardineknot.ClaimAttempt
	fail   error
	// hold delays the reply of a claim.
	hold time.Duration
}

func (l *ledger) Claim(_ context.Context, a sardineknot.ClaimAttempt) (sardineknot.ClaimResult, error) {
	l.mu.Lock()
	d := l.hold
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

// holders joins calls at runners by name.
type holders map[sardineknot.EntryHostID]*Runner

func (h holders) Join(ctx context.Context, p sardineknot.ClaimResult, k sardineknot.RequestKey, content [32]byte) (sardineknot.ServiceAnswer, error) {
	r := h[p.Holder]
	if r == nil {
		return sardineknot.ServiceAnswer{}, &sardineknot.UnavailableError{Peer: string(p.Holder), Cause: errors.New("dead")}
	}
	return r.Join(ctx, k, content)
}

// world has two entry hosts, x and y.
type world struct {
	backend *backend
	ledger  *ledger
	hosts   holders
	x, y    *Runner
}

func newWorld() *world {
	w := &world{
		backend: &backend{},
		ledger:  &ledger{holder: make(map[sardineknot.RequestKey]sardineknot.ClaimAttempt)},
		hosts:   make(holders),
	}
	w.x = w.runner("x")
	w.y = w.runner("y")
	return w
}

func (w *world) runner(id sardineknot.EntryHostID) *Runner {
	s := sardineknot.BackendServer{Name: "a", Role: sardineknot.RolePlain, Service: "app", Slots: 20, State: sardineknot.BackendJoining}
	o := s
	o.Name = "b"
	r := &Runner{
		Self:           sardineknot.EntryHost{ID: id, Incarnation: 1},
		Service:        w.backend,
		Claims:         w.ledger,
		ClaimRetention: time.Hour,
		Releases:       release.NewQueue(w.ledger, systemClock{}, time.Hour),
		Holders:        w.hosts,
		Calls:          join.NewGroup(time.Minute),
		Circuits:       breaker.NewSet(rand.NewPCG(1, 1)),
		Retries:        retry.NewPolicy(rand.NewPCG(1, 1)),
		Configuration:  source{&sardineknot.Configuration{BackendServers: []sardineknot.BackendServer{s, o}}},
		Clock:          systemClock{},
		Log:            zerolog.Nop(),
	}
	w.hosts[id] = r
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

// inBubble runs f in virtual time and waits out what it leaves behind.
func inBubble(t *testing.T, name string, f func(t *testing.T, w *world)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f(t, newWorld())
			time.Sleep(10 * time.Minute)
		})
	})
}

// expect runs an unrepeatable call and compares its outcome: "whole" or a part
// of the error.
func expect(t *testing.T, r *Runner, outcome string) {
	t.Helper()
	expectCall(t, r, newCall(true), outcome)
}

func expectCall(t *testing.T, r *Runner, c sardineknot.ServiceCall, outcome string) {
	t.Helper()
	i := is.New(t)
	a, err := r.Run(context.Background(), c)
	if outcome == "whole" {
		i.NoErr(err)
		i.Equal(string(a.Body), "body")
		return
	}
	i.True(err != nil)
	i.True(strings.HasPrefix(err.Error(), outcome)) // outcome
}

func expectRuns(t *testing.T, w *world, n int) {
	t.Helper()
	w.backend.mu.Lock()
	defer w.backend.mu.Unlock()
	is.New(t).Equal(w.backend.runs, n) // runs
}

func TestUnrepeatable(t *testing.T) {
	inBubble(t, "asked again gives the kept answer", func(t *testing.T, w *world) {
		expect(t, w.x, "whole")
		expect(t, w.x, "whole")
		expect(t, w.y, "whole")
		expectRuns(t, w, 1)
		time.Sleep(5 * time.Minute)
		expect(t, w.x, "outcome of")
		expect(t, w.y, "outcome of")
		expectRuns(t, w, 1)
	})
	inBubble(t, "asked again while it runs", func(t *testing.T, w *world) {
		w.backend.call = func(context.Context, sardineknot.BackendServer, int) error {
			time.Sleep(time.Second)
			return nil
		}
		var g sync.WaitGroup
		for _, r := range []*Runner{w.x, w.y, w.x, w.y} {
			g.Go(func() { expect(t, r, "whole") })
		}
		g.Wait()
		expectRuns(t, w, 1)
	})
	inBubble(t, "goes on when its caller is gone", func(t *testing.T, w *world) {
		w.backend.call = func(ctx context.Context, _ sardineknot.BackendServer, _ int) error {
			time.Sleep(time.Second)
			return ctx.Err()
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second/2)
		defer cancel()
		_, err := w.x.Run(ctx, newCall(true))
		is.New(t).True(err != nil)
		expect(t, w.x, "whole")
		expectRuns(t, w, 1)
	})
}

func TestUnrepeatableElsewhere(t *testing.T) {
	inBubble(t, "holder is dead", func(t *testing.T, w *world) {
		expect(t, w.x, "whole")
		delete(w.hosts, "x")
		expect(t, w.y, "outcome of")
		expectRuns(t, w, 1)
	})
	inBubble(t, "with another content", func(t *testing.T, w *world) {
		expect(t, w.x, "whole")
		c := newCall(true)
		c.Body = []byte("other")
		expectCall(t, w.x, c, "verk/r1 was used before")
		expectCall(t, w.y, c, "verk/r1 was used before")
	})
	inBubble(t, "reply of the backend server lost", func(t *testing.T, w *world) {
		w.backend.call = func(context.Context, sardineknot.BackendServer, int) error {
			return &sardineknot.UnavailableError{Peer: "a", Cause: errors.New("reset")}
		}
		expect(t, w.x, "outcome of")
		expect(t, w.x, "outcome of")
		expect(t, w.y, "outcome of")
		expectRuns(t, w, 1)
	})
}

func TestNotRun(t *testing.T) {
	refused := &sardineknot.RefusedError{Server: "a", Status: 503}
	inBubble(t, "goes to another backend server", func(t *testing.T, w *world) {
		w.backend.call = func(_ context.Context, _ sardineknot.BackendServer, n int) error {
			if n == 1 {
				return refused
			}
			return nil
		}
		expect(t, w.x, "whole")
	})
	inBubble(t, "can be asked again anywhere", func(t *testing.T, w *world) {
		w.backend.call = func(_ context.Context, _ sardineknot.BackendServer, n int) error {
			if n <= 2*maxAttempts {
				return refused
			}
			return nil
		}
		expect(t, w.x, "not run")
		time.Sleep(10 * time.Second)
		expect(t, w.x, "not run")
		time.Sleep(10 * time.Second)
		expect(t, w.y, "whole")
	})
	inBubble(t, "claim of unknown outcome is released", func(t *testing.T, w *world) {
		w.ledger.fail = errors.New("store down")
		expect(t, w.x, "not run")
		expect(t, w.y, "not run")
		expectRuns(t, w, 0)
		w.ledger.fail = nil
		expect(t, w.y, "whole")
		expectRuns(t, w, 1)
	})
	inBubble(t, "deadline passed during the claim", func(t *testing.T, w *world) {
		w.ledger.hold = 21 * time.Second
		go w.x.Run(context.Background(), newCall(true))
		time.Sleep(25 * time.Second)
		expectRuns(t, w, 0)
		w.ledger.mu.Lock()
		w.ledger.hold = 0
		w.ledger.mu.Unlock()
		expect(t, w.y, "whole")
		expectRuns(t, w, 1)
	})
}

func TestAge(t *testing.T) {
	inBubble(t, "old identifier", func(t *testing.T, w *world) {
		c := newCall(true)
		c.Key.ID = "00dc6acf-ab00-7000-8000-000000000000" // 2000-01-01 in the bubble's time
		expectCall(t, w.x, c, "whole")
		time.Sleep(31 * time.Minute)
		clear(w.ledger.holder) // the claim has expired
		c.Deadline = time.Now().Add(time.Second)
		expectCall(t, w.y, c, "outcome of")
		expectRuns(t, w, 1)
	})
	inBubble(t, "far deadline", func(t *testing.T, w *world) {
		c := newCall(true)
		c.Deadline = time.Now().Add(time.Hour)
		expectCall(t, w.x, c, "X-Deadline")
		expectRuns(t, w, 0)
	})
}

func TestRepeatable(t *testing.T) {
	inBubble(t, "silent connection", func(t *testing.T, w *world) {
		w.backend.call = func(ctx context.Context, _ sardineknot.BackendServer, n int) error {
			if n > 1 {
				return nil
			}
			<-ctx.Done()
			return &sardineknot.UnavailableError{Peer: "a", Cause: ctx.Err()}
		}
		expectCall(t, w.x, newCall(false), "whole")
		expectRuns(t, w, 2)
	})
	inBubble(t, "first caller gone", func(t *testing.T, w *world) {
		w.backend.call = func(ctx context.Context, _ sardineknot.BackendServer, _ int) error {
			time.Sleep(time.Second)
			return ctx.Err()
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second/2)
		defer cancel()
		go w.x.Run(ctx, newCall(false))
		synctest.Wait()
		expectCall(t, w.x, newCall(false), "whole")
		expectRuns(t, w, 1)
	})
	inBubble(t, "last caller gone", func(t *testing.T, w *world) {
		ended := false
		w.backend.call = func(ctx context.Context, _ sardineknot.BackendServer, _ int) error {
			<-ctx.Done()
			ended = errors.Is(ctx.Err(), context.Canceled)
			return ctx.Err()
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := w.x.Run(ctx, newCall(false))
		synctest.Wait()
		is.New(t).True(err != nil && ended)
	})
	inBubble(t, "budget bounds the retries", func(t *testing.T, w *world) {
		w.backend.call = func(context.Context, sardineknot.BackendServer, int) error {
			return &sardineknot.UnavailableError{Peer: "a", Cause: errors.New("reset")}
		}
		for range 200 {
			expectCall(t, w.x, newCall(false), "")
			time.Sleep(time.Minute)
		}
		w.backend.mu.Lock()
		defer w.backend.mu.Unlock()
		is.New(t).True(w.backend.runs <= 200+10+20) // first tries, saved and earned retries
	})
}
