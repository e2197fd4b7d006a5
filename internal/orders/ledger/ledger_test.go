package ledger

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/platform/etcd"
	standin "sardineknot.example/sardineknot/internal/standin/etcd"
	"sardineknot.example/sardineknot/internal/standin/fault"
	log "sardineknot.example/sardineknot/internal/standin/record"
)

// clock is a fake clock that the test sets.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// testHost is an entry host with its ledger and clock.
type testHost struct {
	*Ledger
	clock *clock
	// slept is the total duration of all waits. A wait returns immediately.
	slept time.Duration
	// meanwhile is called during each wait, unless it is nil.
	meanwhile func()
}

// newHosts returns count hosts that share one store.
func newHosts(t *testing.T, count int) []*testHost {
	s := httptest.NewServer(standin.NewServer(&fault.Injector{}, &log.Recorder{}))
	t.Cleanup(s.Close)
	a := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	var l []*testHost
	for i := range count {
		h := &testHost{clock: &clock{now: time.Unix(1_800_000_000, 0)}}
		e := sardineknot.EntryHost{ID: sardineknot.EntryHostID(rune('a' + i)), Incarnation: 1}
		h.Ledger = NewLedger(etcd.NewClient(a, 0), h.clock, e, h.wait)
		l = append(l, h)
	}
	return l
}

func (h *testHost) wait(_ context.Context, delay time.Duration) error {
	h.slept += delay
	if h.meanwhile != nil {
		h.meanwhile()
	}
	return nil
}

func TestIssueOrder(t *testing.T) {
	checks := sardineknot.BackendServer{Name: "decode-1", ChecksFencing: true}
	ignores := sardineknot.BackendServer{Name: "decode-1"}
	t.Run("tokens increase across hosts", func(t *testing.T) {
		l := newHosts(t, 2)
		a := issue(t, l[0], checks)
		b := issue(t, l[1], checks)
		is.New(t).True(b.Token > a.Token)
	})
	t.Run("does not wait for an engine that checks tokens", func(t *testing.T) {
		l := newHosts(t, 2)
		issue(t, l[0], checks)
		issue(t, l[1], checks)
		assertSlept(t, l[1], 0)
	})
	t.Run("waits until an earlier order to an engine that ignores tokens has expired", func(t *testing.T) {
		l := newHosts(t, 2)
		o := issue(t, l[0], ignores)
		issue(t, l[1], ignores)
		assertSlept(t, l[1], orderValidity+waitMargin)
		is.New(t).True(!o.SendBefore.After(l[0].clock.now.Add(orderValidity)))
	})
	t.Run("does not wait for an order that is done", func(t *testing.T) {
		l := newHosts(t, 2)
		o := issue(t, l[0], ignores)
		is.New(t).NoErr(l[0].MarkDone(context.Background(), o))
		issue(t, l[1], ignores)
		assertSlept(t, l[1], 0)
	})
	t.Run("fails if another host issues an order during the wait", func(t *testing.T) {
		l := newHosts(t, 3)
		issue(t, l[0], ignores)
		l[1].meanwhile = func() { issue(t, l[2], checks) }
		_, err := l[1].IssueOrder(context.Background(), ignores, sardineknot.EngineState{})
		var c *sardineknot.ConflictError
		is.New(t).True(errors.As(err, &c))
	})
}

func issue(t *testing.T, host *testHost, server sardineknot.BackendServer) sardineknot.EngineOrder {
	t.Helper()
	o, err := host.IssueOrder(context.Background(), server, sardineknot.EngineState{})
	is.New(t).NoErr(err)
	return o
}

func assertSlept(t *testing.T, host *testHost, want time.Duration) {
	t.Helper()
	is.New(t).Equal(host.slept, want)
}
