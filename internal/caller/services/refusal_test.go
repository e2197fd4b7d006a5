package services_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/services"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// source is a fake ConfigurationSource. Its configuration has one account, with
// one class of work of each kind.
type source struct{}

func (source) Current() *sardineknot.Configuration {
	return &sardineknot.Configuration{Contracts: []sardineknot.Contract{{Account: "verk", Work: []sardineknot.Work{
		{Name: "trip-lookup", Kind: sardineknot.WorkService, Service: "dagbok-app", FirstToken: time.Minute},
		{Name: "trip-summary", Kind: sardineknot.WorkGeneration, FirstToken: time.Minute, MaxTokens: 100},
	}}}}
}

func (source) Changed() <-chan struct{} { return nil }

// TestRefusals checks that invalid requests are refused before anything runs:
// the handler has no runner, so an attempt to run one would panic.
func TestRefusals(t *testing.T) {
	h := &services.Handler{Configuration: source{}, Clock: clock.System{}}
	for _, c := range []struct {
		name, header, value, body string
		status                    int
		kind, param               string
	}{
		{"oversized body", "", "", strings.Repeat("x", services.MaxRequestBytes+1), http.StatusBadRequest, "invalid", "body"},
		{"unknown account", "X-Client-Account", "other", `body`, http.StatusNotFound, "unknown", "ClientAccount"},
		{"unknown work", "X-Work", "tax-note", `body`, http.StatusNotFound, "unknown", "Work"},
		{"work of another kind", "X-Work", "trip-summary", `body`, http.StatusBadRequest, "invalid", "X-Work"},
		{"no request identifier", "X-Request-Id", "", `body`, http.StatusBadRequest, "invalid", "X-Request-Id"},
		{"oversized work", "X-Work", strings.Repeat("x", 1<<16), `body`, http.StatusNotFound, "unknown", "Work"},
		{"oversized deadline", "X-Deadline", strings.Repeat("x", 1<<16), `body`, http.StatusBadRequest, "invalid", "X-Deadline"},
		{"expired deadline", "X-Deadline", "2001-01-01T00:00:00Z", `body`, http.StatusBadRequest, "invalid", "X-Deadline"},
		{"malformed offset", "Last-Event-ID", "x", `body`, http.StatusBadRequest, "invalid", "Last-Event-ID"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/v1/services", strings.NewReader(c.body))
			r.Header.Set("X-Client-Account", "verk")
			r.Header.Set("X-Request-Id", "r1")
			r.Header.Set("X-Work", "trip-lookup")
			r.Header.Set(c.header, c.value)
			assertRefused(t, h, r, c.status, c.kind, c.param)
		})
	}
}

// assertRefused checks that h answers r with the given status and that the
// error in the response body has kind as its type and param as its parameter.
func assertRefused(t *testing.T, h http.Handler, r *http.Request, status int, kind, param string) {
	t.Helper()
	i := is.New(t)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var b struct {
		Error struct{ Type, Message, Param string }
	}
	i.NoErr(json.Unmarshal(w.Body.Bytes(), &b))
	i.Equal(w.Code, status)
	i.Equal(b.Error.Type, kind)
	i.Equal(b.Error.Param, param)
	i.True(b.Error.Message != "")
	i.True(w.Body.Len() < 4096) // the offending value is truncated
}
