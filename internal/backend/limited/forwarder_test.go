package limited_test

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/backoff"
	"sardineknot.example/sardineknot/internal/backend/limited"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// sent is a fake sardineknot.Forwarder that counts requests.
type sent struct{ requests int }

func (s *sent) Forward(context.Context, sardineknot.BackendServer, *sardineknot.Call, sardineknot.ForwardOptions) (*sardineknot.Response, error) {
	s.requests++
	return &sardineknot.Response{}, nil
}

func (s *sent) Prefill(context.Context, sardineknot.BackendServer, *sardineknot.Call, time.Time) (sardineknot.KVCacheReference, error) {
	s.requests++
	return sardineknot.KVCacheReference{}, nil
}

func (s *sent) ReleaseCache(context.Context, sardineknot.KVCacheReference) error {
	s.requests++
	return nil
}

func (s *sent) Load(context.Context, sardineknot.BackendServer) (sardineknot.LoadReport, error) {
	s.requests++
	return sardineknot.LoadReport{}, nil
}

// limiter is a fake sardineknot.ServerLimiter. It has permits for the server "a",
// which is limited, and none for "b". Other servers are not limited.
type limiter struct{}

func (limiter) Admit(_ context.Context, server sardineknot.BackendServer) time.Duration {
	if server.Name == "b" {
		return time.Minute
	}
	return 0
}

func (limiter) Limited(server sardineknot.BackendServer) bool { return server.Name != "c" }

// source is a fake configuration source.
type source struct{ sardineknot.Configuration }

func (s *source) Current() *sardineknot.Configuration { return &s.Configuration }
func (s *source) Changed() <-chan struct{}            { return nil }

// TestForwarder guards against a way to a server that its limit does not count.
func TestForwarder(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	for n, send := range map[string]func(*limited.Forwarder, sardineknot.BackendServer) error{
		"call": func(f *limited.Forwarder, s sardineknot.BackendServer) error {
			_, err := f.Forward(t.Context(), s, nil, sardineknot.ForwardOptions{})
			return err
		},
		"prefill": func(f *limited.Forwarder, s sardineknot.BackendServer) error {
			_, err := f.Prefill(t.Context(), s, nil, time.Now())
			return err
		},
		"load query": func(f *limited.Forwarder, s sardineknot.BackendServer) error {
			_, err := f.Load(t.Context(), s)
			return err
		},
		"release": func(f *limited.Forwarder, s sardineknot.BackendServer) error {
			return f.ReleaseCache(t.Context(), sardineknot.KVCacheReference{Address: s.Address})
		},
	} {
		for _, b := range []sardineknot.BackendServerName{"a", "b", "c"} {
			t.Run(n+" to "+string(b), func(t *testing.T) {
				is := is.New(t)
				s := sardineknot.BackendServer{Name: b, Address: address}
				i := &sent{}
				f := &limited.Forwarder{
					Forwarder: i, Limiter: limiter{}, Backoffs: backoff.NewSet(rand.NewPCG(1, 1)), Clock: clock.System{},
					Source: &source{sardineknot.Configuration{BackendServers: []sardineknot.BackendServer{s}}},
				}
				err := send(f, s)
				k := b == "c" || b == "a" && (n == "call" || n == "prefill")
				is.Equal(i.requests == 1, k)
				is.Equal(err == nil, k)
				var o *sardineknot.BackedOffError
				is.Equal(errors.As(err, &o), !k)
				is.Equal(f.Backoffs.Left(time.Now(), s) > 0, b == "b" && (n == "call" || n == "prefill"))
			})
		}
	}
}
