package h2c_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/peer/h2c"
)

// TestKilledCaller guards against half of a request that is read as a whole one because the
// host that sends it is killed: the kernel ends its connection as after an orderly end.
func TestKilledCaller(t *testing.T) {
	is := is.New(t)
	_, half := message(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	begun, ended := make(chan struct{}), make(chan error, 1)
	s := h2c.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, len(half)))
		close(begun)
		_, err := io.ReadAll(r.Body)
		ended <- err
	}))
	defer s.Close()
	go func() { _ = s.Serve(l) }()
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	var connection net.Conn
	c := &http.Transport{Protocols: p, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		var err error
		connection, err = d.DialContext(ctx, network, address)
		return connection, err
	}}
	r, w := io.Pipe()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String(), r)
	is.NoErr(err)
	go func() {
		_, _ = w.Write(half)
		<-begun
		connection.Close()
	}()
	_, err = c.RoundTrip(q)
	is.True(err != nil)
	is.True(<-ended != nil)
}
