package etcd_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/platform/etcd"
)

// newCutStore returns a client of a service that answers with text and then ends the
// connection, as the kernel does for a killed process. The answers have neither a length nor
// chunks.
func newCutStore(t *testing.T, text string) *etcd.Client {
	v := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+text)
			c.Close()
		}
	}))
	t.Cleanup(v.Close)
	return etcd.NewClient(netip.MustParseAddrPort(strings.TrimPrefix(v.URL, "http://")), time.Second)
}

// TestCutAnswers guards against a part of an answer that is taken for the whole one because
// the service is killed.
func TestCutAnswers(t *testing.T) {
	for whole, request := range map[string]func(ctx context.Context, c *etcd.Client) error{
		`{"header":{"revision":"12"},"kvs":[{"key":"aw==","value":"dg==","mod_revision":"12"}]}`: func(ctx context.Context, c *etcd.Client) error {
			_, err := c.List(ctx, "k")
			return err
		},
		`{"header":{"revision":"12"},"succeeded":true}`: func(ctx context.Context, c *etcd.Client) error {
			_, err := c.CompareAndSwap(ctx, "k", sardineknot.StoreRevision{}, nil, sardineknot.LeaseID{})
			return err
		},
		`{"ID":"77","TTL":"3"}`: func(ctx context.Context, c *etcd.Client) error {
			_, err := c.GrantLease(ctx, time.Second)
			return err
		},
		`{"result":{"ID":"77","TTL":"3"}}`: func(ctx context.Context, c *etcd.Client) error {
			return c.KeepAlive(ctx, sardineknot.LeaseID{Number: 77})
		},
	} {
		t.Run(whole, func(t *testing.T) {
			for n := range len(whole) + 1 {
				err := request(t.Context(), newCutStore(t, whole[:n]))
				var u *sardineknot.UnavailableError
				is.New(t).Equal(errors.As(err, &u), n < len(whole))
				is.New(t).Equal(err == nil, n == len(whole))
			}
		})
	}
}

// TestCutWatch guards against a part of a change that is taken for the whole one. The end of
// the watch is reported.
func TestCutWatch(t *testing.T) {
	const whole = `{"result":{"events":[{"kv":{"key":"aw==","value":"dg==","mod_revision":"12"}}]}}`
	for n := range len(whole) + 1 {
		e, err := newCutStore(t, whole[:n]).Watch(t.Context(), "k", sardineknot.StoreRevision{})
		is.New(t).NoErr(err)
		changes := 0
		for range e {
			changes++
		}
		is.New(t).Equal(changes == 1, n == len(whole))
	}
}
