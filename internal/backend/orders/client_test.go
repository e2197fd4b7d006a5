package orders

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
	"sardineknot.example/sardineknot/internal/standin/engine"
	"sardineknot.example/sardineknot/internal/standin/fault"
	"sardineknot.example/sardineknot/internal/standin/record"
)

// clock is a fake clock that always returns now.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func TestSendOrder(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	t.Run("sends an order before its deadline", func(t *testing.T) {
		assertSent(t, start, start.Add(time.Second), 1)
	})
	t.Run("does not send an order after its deadline", func(t *testing.T) {
		// Repeated, because the error of the transport varies between runs.
		for range 200 {
			assertLate(t, start, start)
		}
	})
	t.Run("reports an order that the engine rejects as stale", func(t *testing.T) {
		c, s, _ := newEngine(t, start)
		i := is.New(t)
		i.NoErr(c.SendOrder(context.Background(), s, sardineknot.EngineOrder{Token: 2, SendBefore: start.Add(time.Second)}))
		assertStale(t, c.SendOrder(context.Background(), s, sardineknot.EngineOrder{Token: 1, SendBefore: start.Add(time.Second)}))
	})
}

func newEngine(t *testing.T, now time.Time) (*Client, sardineknot.BackendServer, *record.Recorder) {
	r := &record.Recorder{}
	h := httptest.NewServer(&engine.Server{Name: "e", Faults: &fault.Injector{}, Log: r})
	t.Cleanup(h.Close)
	a := netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "http://"))
	return NewClient(&clock{now}), sardineknot.BackendServer{Name: "e", Address: a}, r
}

func assertSent(t *testing.T, now, before time.Time, want int) {
	t.Helper()
	c, s, r := newEngine(t, now)
	i := is.New(t)
	i.NoErr(c.SendOrder(context.Background(), s, sardineknot.EngineOrder{Token: 1, SendBefore: before}))
	i.Equal(countOrders(r), want)
}

func assertLate(t *testing.T, now, before time.Time) {
	t.Helper()
	c, s, r := newEngine(t, now)
	assertStale(t, c.SendOrder(context.Background(), s, sardineknot.EngineOrder{Token: 1, SendBefore: before}))
	is.New(t).Equal(countOrders(r), 0)
}

func assertStale(t *testing.T, err error) {
	t.Helper()
	var s *sardineknot.StaleOrderError
	if !errors.As(err, &s) {
		t.Errorf("got %v, want a StaleOrderError", err)
	}
}

// countOrders returns the number of orders that recorder has recorded.
func countOrders(recorder *record.Recorder) int {
	var n int
	for _, l := range recorder.Lines() {
		if strings.HasPrefix(l, "event=order ") {
			n++
		}
	}
	return n
}
