package admin_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/operator/admin"
)

func TestRevision(t *testing.T) {
	invalid := new(*sardineknot.InvalidError)
	unavailable := new(*sardineknot.UnavailableError)
	for _, c := range []struct {
		name   string
		status int
		body   string
		target any
	}{
		{"revision in force", http.StatusOK, `{"Host": "entry-1", "Incarnation": 7, "Revision": 12}`, nil},
		{"no revision in force", http.StatusOK, `{"Host": "entry-1", "Incarnation": 7, "Revision": 0}`, nil},
		{"not JSON", http.StatusOK, `<html>`, invalid},
		{"no host", http.StatusOK, `{"Incarnation": 7, "Revision": 12}`, invalid},
		{"negative revision", http.StatusOK, `{"Host": "entry-1", "Incarnation": 7, "Revision": -1}`, invalid},
		{"response too long", http.StatusOK, `{"Host": "` + strings.Repeat("x", 1<<20), invalid},
		{"not found", http.StatusNotFound, ``, unavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				i.Equal(r.URL.Path, "/v1/revision")
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer s.Close()
			a := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
			r, err := new(admin.Client).Revision(t.Context(), a)
			i.Equal(err == nil, c.target == nil)
			i.True(c.target == nil || errors.As(err, c.target))
			i.Equal(r.Host != "", c.target == nil)
		})
	}
	t.Run("timeout", func(t *testing.T) {
		s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
		defer s.Close()
		a := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
		_, err := (&admin.Client{Timeout: time.Millisecond}).Revision(t.Context(), a)
		is.New(t).True(errors.As(err, unavailable))
	})
}
