package completions_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/completions"
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
	h := &completions.Handler{Configuration: source{}, Clock: clock.System{}}
	for _, c := range []struct {
		name, header, value, body string
		status                    int
		kind, param               string
	}{
		{"oversized body", "", "", `{"prompt": "` + strings.Repeat("x", completions.MaxRequestBytes) + `"}`, http.StatusBadRequest, "invalid", "body"},
		{"bad JSON", "", "", `{"prompt": `, http.StatusBadRequest, "invalid", "body"},
		{"JSON array", "", "", `["prompt"]`, http.StatusBadRequest, "invalid", "body"},
		{"wrong type", "", "", `{"prompt": 7}`, http.StatusBadRequest, "invalid", "body"},
		{"no prompt", "", "", `{}`, http.StatusBadRequest, "invalid", "prompt"},
		{"too many tokens", "", "", `{"prompt": "a", "max_tokens": 101}`, http.StatusBadRequest, "invalid", "max_tokens"},
		{"negative tokens", "", "", `{"prompt": "a", "max_tokens": -1}`, http.StatusBadRequest, "invalid", "max_tokens"},
		{"unknown account", "X-Client-Account", "other", `{"prompt": "a"}`, http.StatusNotFound, "unknown", "ClientAccount"},
		{"unknown work", "X-Work", "tax-note", `{"prompt": "a"}`, http.StatusNotFound, "unknown", "Work"},
		{"work of another kind", "X-Work", "trip-lookup", `{"prompt": "a"}`, http.StatusBadRequest, "invalid", "X-Work"},
		{"no request identifier", "X-Request-Id", "", `{"prompt": "a"}`, http.StatusBadRequest, "invalid", "X-Request-Id"},
		{"oversized work", "X-Work", strings.Repeat("x", 1<<16), `{"prompt": "a"}`, http.StatusNotFound, "unknown", "Work"},
		{"oversized deadline", "X-Deadline", strings.Repeat("x", 1<<16), `{"prompt": "a"}`, http.StatusBadRequest, "invalid", "X-Deadline"},
		{"expired deadline", "X-Deadline", "2001-01-01T00:00:00Z", `{"prompt": "a"}`, http.StatusBadRequest, "invalid", "X-Deadline"},
		{"malformed offset", "Last-Event-ID", "x", `{"prompt": "a"}`, http.StatusBadRequest, "invalid", "Last-Event-ID"},
		{"offset beyond the answer", "Last-Event-ID", "100", `{"prompt": "a"}`, http.StatusBadRequest, "invalid", "Last-Event-ID"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(c.body))
			r.Header.Set("X-Client-Account", "verk")
			r.Header.Set("X-Request-Id", "r1")
			r.Header.Set("X-Work", "trip-summary")
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
