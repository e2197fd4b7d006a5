package http1_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/http1"
)

// TestCloseDuringRead guards against a body that is read ahead of its caller and is closed
// meanwhile, whose connection stays open or whose read does not end.
func TestCloseDuringRead(t *testing.T) {
	s := serve(t, []string{"HTTP/1.1 200 OK\r\nId: a\r\n\r\nfirst"})
	p, err := newClient().Exchange(t.Context(), s.address, sardineknot.ExchangeRequest{Method: "GET", Target: "/", Host: "h", EchoHeader: "Id", EchoValue: "a"})
	is.New(t).NoErr(err)
	e := make(chan error, 1)
	go func() {
		_, err := io.ReadAll(p.Body)
		e <- err
	}()
	time.Sleep(20 * time.Millisecond) // usually enough for the read to begin; without it the case is an easier one
	is.New(t).NoErr(p.Body.Close())
	select {
	case err := <-e:
		is.New(t).True(err != nil)
	case <-time.After(5 * time.Second):
		t.Fatal("the read does not end")
	}
}

// steppedClock is a clock that a test advances.
type steppedClock struct{ now time.Time }

func (c *steppedClock) Now() time.Time { return c.now }

// exchangeFresh makes an exchange, and after the given time one that requests a fresh
// connection. It returns the response to the latter.
func exchangeFresh(t *testing.T, s *scriptedServer, idle time.Duration) string {
	t.Helper()
	is := is.New(t)
	k := &steppedClock{now: time.Unix(1000, 0)}
	c := http1.NewClient(k, metrics.NewRegistry())
	_, err := exchange(c, s, "1")
	is.NoErr(err)
	k.now = k.now.Add(idle)
	p, err := c.Exchange(t.Context(), s.address, sardineknot.ExchangeRequest{
		Method: http.MethodPost, Target: "/", Host: "h", EchoHeader: "Id", EchoValue: "2", FreshConnection: true,
	})
	is.NoErr(err)
	b, err := io.ReadAll(p.Body)
	is.NoErr(err)
	return string(b)
}

// TestFreshConnection guards against a request whose outcome is unknown because its server
// closes, while it receives the request, the connection that it kept after the one before; and
// against a new connection for each request, since a server has a limit of them.
func TestFreshConnection(t *testing.T) {
	for name, idle := range map[string]time.Duration{"just used": 10 * time.Millisecond, "idle for long": 800 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, []string{ok("1", "a"), ""}, []string{ok("2", "n")})
			is.New(t).Equal(exchangeFresh(t, s, idle), "n")
		})
	}
	t.Run("idle for a short time", func(t *testing.T) {
		for range keepTries {
			s := serve(t, []string{ok("1", "a"), ok("2", "k")}, []string{ok("2", "n")})
			if exchangeFresh(t, s, 100*time.Millisecond) == "k" {
				return
			}
		}
		t.Errorf("no connection was kept in %d tries", keepTries)
	})
}
