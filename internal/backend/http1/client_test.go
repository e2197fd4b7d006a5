package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/http1"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// scriptedServer answers each request on a connection with the next of the
// connection's scripted responses. An empty response closes the connection.
type scriptedServer struct {
	address  netip.AddrPort
	requests chan *http.Request
}

// serve starts a server that answers with scripts[n] on its n-th connection.
func serve(t *testing.T, scripts ...[]string) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { l.Close() })
	s := &scriptedServer{address: netip.MustParseAddrPort(l.Addr().String()), requests: make(chan *http.Request, 16)}
	go func() {
		for _, c := range scripts {
			k, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConn(k, c)
		}
	}()
	return s
}

func (s *scriptedServer) serveConn(conn net.Conn, scripts []string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for _, a := range scripts {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		s.requests <- q
		if a == "" {
			return
		}
		_, _ = io.WriteString(conn, a)
	}
	// Keep the connection open until the client closes it.
	_, _ = io.Copy(io.Discard, r)
}

func ok(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func newClient() *http1.Client { return http1.NewClient(clock.System{}, metrics.NewRegistry()) }

// exchange makes an exchange and returns the complete body of the response.
func exchange(client *http1.Client, server *scriptedServer, id string) (string, error) {
	return exchangeBody(client, server, id, []byte("body"))
}

// exchangeBody is exchange for a request with the given body.
func exchangeBody(client *http1.Client, server *scriptedServer, id string, body []byte) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	p, err := client.Exchange(ctx, server.address, sardineknot.ExchangeRequest{
		Method: http.MethodPost, Target: "/a/b?c=d", Host: "h", Header: http.Header{"Id": {id}}, Body: body,
		EchoHeader: "Id", EchoValue: id,
	})
	if err != nil {
		return "", err
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	return string(b), err
}

// assertUnknown checks that err reports an exchange whose outcome is unknown.
func assertUnknown(t *testing.T, err error) {
	t.Helper()
	var u *sardineknot.UnavailableError
	is.New(t).True(errors.As(err, &u))
}

func TestExchange(t *testing.T) {
	t.Run("a connection is reused after a complete exchange", func(t *testing.T) {
		is := is.New(t)
		s := serve(t, []string{ok("1", "a"), ok("2", "b")})
		c := newClient()
		a, err := exchange(c, s, "1")
		is.NoErr(err)
		b, err := exchange(c, s, "2")
		is.NoErr(err)
		is.Equal(a+b, "ab")
		q := <-s.requests
		is.Equal(q.RequestURI, "/a/b?c=d")
		is.Equal(q.Host, "h")
	})
	t.Run("a late response to another request is skipped", func(t *testing.T) {
		is := is.New(t)
		s := serve(t, []string{ok("0", "x") + ok("1", "a")})
		b, err := exchange(newClient(), s, "1")
		is.NoErr(err)
		is.Equal(b, "a")
	})
}

func TestStray(t *testing.T) {
	t.Run("a connection with bytes after the response is not reused", func(t *testing.T) {
		is := is.New(t)
		s := serve(t, []string{ok("1", "a") + ok("1", "x")}, []string{ok("2", "b")})
		c := newClient()
		_, err := exchange(c, s, "1")
		is.NoErr(err)
		b, err := exchange(c, s, "2")
		is.NoErr(err)
		is.Equal(b, "b")
	})
	t.Run("a request whose connection is closed is not sent again", func(t *testing.T) {
		is := is.New(t)
		s := serve(t, []string{ok("1", "a"), ""}, []string{ok("2", "b")})
		c := newClient()
		_, err := exchange(c, s, "1")
		is.NoErr(err)
		_, err = exchange(c, s, "2")
		assertUnknown(t, err)
		is.Equal(len(s.requests), 2)
	})
}

func TestBroken(t *testing.T) {
	t.Run("a truncated response is an error", func(t *testing.T) {
		s := serve(t, []string{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nab", ""})
		c := newClient()
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		p, err := c.Exchange(ctx, s.address, sardineknot.ExchangeRequest{Method: http.MethodGet, Target: "/", Host: "h", EchoHeader: "Id", EchoValue: "1"})
		is.New(t).NoErr(err)
		_, err = io.ReadAll(p.Body)
		assertUnknown(t, err)
	})
	t.Run("an unreachable server is reported as unsent", func(t *testing.T) {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		a := netip.MustParseAddrPort(l.Addr().String())
		l.Close()
		_, err = newClient().Exchange(context.Background(), a, sardineknot.ExchangeRequest{Method: http.MethodGet, Target: "/", Host: "h"})
		var u *sardineknot.UnsentError
		is.True(errors.As(err, &u))
	})
	t.Run("cancelling the context aborts the exchange", func(t *testing.T) {
		is := is.New(t)
		s := serve(t, []string{"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"})
		ctx, cancel := context.WithCancelCause(context.Background())
		p, err := newClient().Exchange(ctx, s.address, sardineknot.ExchangeRequest{Method: http.MethodGet, Target: "/", Host: "h"})
		is.NoErr(err)
		e := errors.New("enough")
		cancel(e)
		_, err = io.ReadAll(p.Body)
		is.True(errors.Is(err, e))
	})
}
