package service

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

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
