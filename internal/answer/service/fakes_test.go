package service

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// systemClock is a sardineknot.Clock.
type systemClock struct{}

// Now returns the virtual time of the synctest bubble.
func (systemClock) Now() time.Time { return time.Now() }

// source is a fake configuration source whose configuration never changes.
type source struct{ *sardineknot.Configuration }

func (s source) Current() *sardineknot.Configuration { return s.Configuration }

func (source) Changed() <-chan struct{} { return nil }

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
