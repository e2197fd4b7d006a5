package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/gateway"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// keyed is a fake configuration source with a route that needs a key, which no call has.
type keyed struct{ source }

func (keyed) Current() *sardineknot.Configuration {
	c := &sardineknot.Configuration{Revision: 1, Routes: []sardineknot.Route{
		{Name: "call", Host: "h", Prefix: "/call/", Timeout: callTimeout, Shares: []sardineknot.RouteShare{{Service: "s"}}},
	}}
	c.SetAccounts([]sardineknot.ClientAccount{{Name: "a", Keys: []sardineknot.KeyDigest{sardineknot.DigestKey("k")}}})
	return c
}

// refusal returns the answer to a call of path at a host whose view is outdated or not.
func refusal(outdated bool, path string) *http.Response {
	q := &timedRunner{}
	h := &gateway.Handler{
		Source: keyed{}, Decoder: decoder{}, Plain: q, Stream: q, Outdated: func() bool { return outdated },
		Clock: clock.System{}, Log: zerolog.Nop(), Metrics: metrics.NewRegistry(),
	}
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Host = "h"
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result()
}

// TestOutdatedView guards against calls of an added route, or with an added key, that a host
// which is behind answers with a final refusal, although a newer configuration may allow them.
func TestOutdatedView(t *testing.T) {
	for _, c := range []struct {
		name, path string
		status     int
	}{
		{"an unknown route", "/added/", http.StatusNotFound},
		{"an unknown key", "/call/", http.StatusUnauthorized},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(refusal(false, c.path).StatusCode, c.status)
			p := refusal(true, c.path)
			is.Equal(p.StatusCode, http.StatusServiceUnavailable)
			is.True(p.Header.Get("Retry-After") != "")
		})
	}
}
