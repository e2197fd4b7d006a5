package http1_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
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

// TestCloseOfKeptConnection guards against a request whose outcome is unknown because its server
// closes, while it receives the request, the connection that it kept after the one before.
func TestCloseOfKeptConnection(t *testing.T) {
	is := is.New(t)
	s := serve(t, []string{ok("1", "a"), ""}, []string{ok("2", "b")})
	c := newClient()
	_, err := exchange(c, s, "1")
	is.NoErr(err)
	p, err := c.Exchange(t.Context(), s.address, sardineknot.ExchangeRequest{
		Method: http.MethodPost, Target: "/", Host: "h", EchoHeader: "Id", EchoValue: "2", NewConnection: true,
	})
	is.NoErr(err)
	b, err := io.ReadAll(p.Body)
	is.NoErr(err)
	is.Equal(string(b), "b")
}
