package nethttp_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/openai"
	"sardineknot.example/sardineknot/internal/backend/orders"
	"sardineknot.example/sardineknot/internal/backend/plainhttp"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/operator/admin"
	"sardineknot.example/sardineknot/internal/platform/etcd"
	"sardineknot.example/sardineknot/internal/platform/httpsd"
	"sardineknot.example/sardineknot/internal/standin/brokenanswer"
)

// reader is a client that reads answers.
type reader struct {
	// name describes what is read, and body is the body of a whole answer.
	name, body string
	// read reads an answer. It returns nil if the answer counts as whole.
	read func(ctx context.Context, address netip.AddrPort) error
}

// server returns a backend server at address.
func server(address netip.AddrPort) sardineknot.BackendServer {
	return sardineknot.BackendServer{Name: "s", Service: "x", Address: address}
}

// callPlain makes a call to a plain service.
func callPlain(unrepeatable bool, size int) func(context.Context, netip.AddrPort) error {
	return func(ctx context.Context, address netip.AddrPort) error {
		c := sardineknot.ServiceCall{Work: sardineknot.Work{Unrepeatable: unrepeatable}, Body: make([]byte, size)}
		_, err := plainhttp.NewClient().Call(ctx, server(address), c)
		var n *sardineknot.NotRunError
		if errors.As(err, &n) {
			return nil // the call may have run, so that this is no true answer either
		}
		return err
	}
}

// decode reads a stream to its end.
func decode(ctx context.Context, address netip.AddrPort) error {
	s, err := openai.NewClient(time.Minute).Decode(ctx, server(address), sardineknot.EngineRequest{PreviousTokens: make([]sardineknot.Token, 1)}, sardineknot.KVCacheLocation{Address: "127.0.0.1:1"})
	if err != nil {
		return err
	}
	defer s.Close()
	_, err = s.Next()
	return err
}

// readers lists all clients that read answers with net/http.
func readers() []reader {
	return []reader{
		{"a safe call", "part", callPlain(false, 1)},
		{"a safe call with a long body", "part", callPlain(false, 4<<20)},
		{"an unsafe call", "part", callPlain(true, 1)},
		{"an unsafe call with a long body", "part", callPlain(true, 4<<20)},
		{"a stream", "id: 1\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n", decode},
		{"a prefill", "{}", func(ctx context.Context, a netip.AddrPort) error {
			_, err := openai.NewClient(0).Prefill(ctx, server(a), sardineknot.EngineRequest{})
			return err
		}},
		{"a load report", `{"running":1}`, func(ctx context.Context, a netip.AddrPort) error {
			_, err := openai.NewClient(0).Load(ctx, server(a))
			return err
		}},
		{"held requests", "{}\n", func(ctx context.Context, a netip.AddrPort) error {
			_, err := openai.NewClient(0).HeldRequests(ctx, server(a))
			return err
		}},
		{"the state of an engine", `{"model":"m"}`, func(ctx context.Context, a netip.AddrPort) error {
			_, _, err := orders.NewClient(clock.System{}).State(ctx, server(a))
			return err
		}},
		{"an order", "{}", func(ctx context.Context, a netip.AddrPort) error {
			return orders.NewClient(clock.System{}).SendOrder(ctx, server(a), sardineknot.EngineOrder{SendBefore: time.Now().Add(time.Hour)})
		}},
		{"a value of the store", "{}", func(ctx context.Context, a netip.AddrPort) error {
			_, err := etcd.NewClient(a, 0).Get(ctx, "k")
			return err
		}},
		{"the list of hosts", "[]", func(ctx context.Context, a netip.AddrPort) error {
			_, err := httpsd.NewClient(a).Fetch(ctx)
			return err
		}},
		{"the revision of a host", `{"Host":"h","Incarnation":1,"Revision":1}`, func(ctx context.Context, a netip.AddrPort) error {
			_, err := (&admin.Client{}).Revision(ctx, a)
			return err
		}},
	}
}

// TestReaders guards against clients that take a broken answer for a whole one, and against
// unsafe calls that count as not run because of it.
func TestReaders(t *testing.T) {
	for _, r := range readers() {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			sound := brokenanswer.Answer{Text: "HTTP/1.1 200 OK\r\n\r\n" + r.body}
			is.New(t).NoErr(r.read(t.Context(), startAnswering(t, sound))) // the case can come about
			// An event that has arrived before a stream broke off is part of the answer.
			l := brokenanswer.Heads("", r.body)
			if r.name != "a stream" {
				l = append(l, brokenanswer.Resets("", r.body)...)
			}
			for _, a := range l {
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				err := r.read(ctx, startAnswering(t, a))
				cancel()
				if err == nil {
					t.Errorf("%s is a whole answer", a.Name)
				}
			}
		})
	}
}
