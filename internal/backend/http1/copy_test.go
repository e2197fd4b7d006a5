package http1_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/http1"
)

// right is the header of a response that echoes nothing.
const right = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"

// exchangeUnidentified is exchange for a request whose response echoes nothing.
func exchangeUnidentified(t *testing.T, client *http1.Client, server *scriptedServer) (string, error) {
	t.Helper()
	p, err := client.Exchange(t.Context(), server.address, sardineknot.ExchangeRequest{Method: http.MethodGet, Target: "/", Host: "h"})
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(p.Body)
	return string(b), err
}

// TestLateCopy guards against a second copy of a response that arrives on a connection that
// is in use again, and that the response to the current request is taken for.
func TestLateCopy(t *testing.T) {
	t.Run("a call is not answered by the copy, of whatever length its identifier is", func(t *testing.T) {
		is := is.New(t)
		s := serve(t, []string{ok("1", "a"), ok("1", "a") + ok("2", "b"), ok("2", "b") + ok("1", "a") + ok("33", "c")})
		c := newClient()
		for i, w := range []string{"a", "b", "c"} {
			b, err := exchange(c, s, []string{"1", "2", "33"}[i])
			is.NoErr(err)
			is.Equal(b, w)
		}
		is.Equal(len(s.requests), 3)
	})
	t.Run("a call that is repeated at the server after its refusal", func(t *testing.T) {
		is := is.New(t)
		s := serve(t, []string{ok("1", "x"), ok("1", "x") + ok("1", "a")}, []string{ok("1", "a")})
		c := newClient()
		_, err := exchange(c, s, "1")
		is.NoErr(err)
		b, err := exchange(c, s, "1")
		is.NoErr(err)
		is.Equal(b, "a")
	})
	t.Run("a call after a request without an identifier", func(t *testing.T) {
		is := is.New(t)
		s := serve(t, []string{right + "q", right + "q" + ok("1", "a")})
		c := newClient()
		_, err := exchangeUnidentified(t, c, s)
		is.NoErr(err)
		b, err := exchange(c, s, "1")
		is.NoErr(err)
		is.Equal(b, "a")
		is.Equal(len(s.requests), 2)
	})
}

// TestLateCopyUnidentified is TestLateCopy for requests whose responses echo nothing:
// releases of KV caches, load queries and orders.
func TestLateCopyUnidentified(t *testing.T) {
	t.Run("a request without an identifier after a call", func(t *testing.T) {
		is := is.New(t)
		s := serve(t, []string{ok("1", "a"), ok("1", "a") + right + "r"}, []string{right + "r"})
		c := newClient()
		_, err := exchange(c, s, "1")
		is.NoErr(err)
		b, err := exchangeUnidentified(t, c, s)
		is.NoErr(err)
		is.Equal(b, "r")
	})
	t.Run("a request without an identifier after another", func(t *testing.T) {
		is := is.New(t)
		s := serve(t, []string{right + "q", right + "q" + right + "r"}, []string{right + "r"})
		c := newClient()
		_, err := exchangeUnidentified(t, c, s)
		is.NoErr(err)
		b, err := exchangeUnidentified(t, c, s)
		is.NoErr(err)
		is.Equal(b, "r")
	})
}

// keepTries bounds the tries of TestKeptConnection. A response that is read before the write of
// its request has returned ends the connection, which a busy machine brings about.
const keepTries = 20

// TestKeptConnection guards against a connection for each load query, which costs a
// server more than the query itself.
func TestKeptConnection(t *testing.T) {
	for range keepTries {
		if usesKeptConnection(t) {
			return
		}
	}
	t.Errorf("no connection was kept in %d tries", keepTries)
}

// usesKeptConnection reports whether a request that permits a kept connection is sent on the one
// of the call before it.
func usesKeptConnection(t *testing.T) bool {
	is := is.New(t)
	s := serve(t, []string{ok("1", "a"), right + "r"}, []string{right + "n"})
	c := newClient()
	_, err := exchange(c, s, "1")
	is.NoErr(err)
	p, err := c.Exchange(t.Context(), s.address, sardineknot.ExchangeRequest{Method: http.MethodGet, Target: "/", Host: "h", KeptConnection: true})
	is.NoErr(err)
	b, err := io.ReadAll(p.Body)
	is.NoErr(err)
	is.True(string(b) == "r" || string(b) == "n")
	return string(b) == "r"
}
