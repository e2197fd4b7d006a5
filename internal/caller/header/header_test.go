package header_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/header"
)

var (
	now           = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	configuration = &sardineknot.Configuration{Contracts: []sardineknot.Contract{{
		Account: "verk",
		Work:    []sardineknot.Work{{Name: "trip-summary", Kind: sardineknot.WorkGeneration, FirstToken: time.Second}},
	}}}
)

// read parses the header of a request that is valid except that the header
// field with the given name is set to value, which may be invalid.
func read(name, value string) (header.Header, error) {
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	r.Header.Set("X-Client-Account", "verk")
	r.Header.Set("X-Request-Id", "r1")
	r.Header.Set("X-Work", "trip-summary")
	r.Header.Set(name, value)
	return header.Read(r, configuration, now)
}

func TestRead(t *testing.T) {
	for _, c := range []struct {
		name, header, value string
		deadline            time.Time
		offset              int
	}{
		{"no optional fields", "X-Other", "", now.Add(time.Second), 0},
		{"deadline", "X-Deadline", "2026-01-01T12:00:05.5Z", now.Add(5500 * time.Millisecond), 0},
		{"offset", "Last-Event-ID", "6", now.Add(time.Second), 7},
		{"no token received", "Last-Event-ID", "-1", now.Add(time.Second), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			h, err := read(c.header, c.value)
			i.NoErr(err)
			i.Equal(h.Key.String(), "verk/r1")
			i.True(h.Deadline.Equal(c.deadline))
			i.Equal(h.Offset, c.offset)
		})
	}
}

func TestReadRefuses(t *testing.T) {
	for _, c := range []struct{ name, header, value string }{
		{"no request identifier", "X-Request-Id", ""},
		{"oversized request identifier", "X-Request-Id", strings.Repeat("r", sardineknot.MaxRequestIDBytes+1)},
		{"request identifier with a slash", "X-Request-Id", "a/b"},
		{"no account", "X-Client-Account", ""},
		{"expired deadline", "X-Deadline", "2026-01-01T11:59:59Z"},
		{"deadline equal to the arrival time", "X-Deadline", "2026-01-01T12:00:00Z"},
		{"malformed deadline", "X-Deadline", "5s"},
		{"malformed offset", "Last-Event-ID", "seven"},
		{"negative offset", "Last-Event-ID", "-2"},
		{"fractional offset", "Last-Event-ID", "1.5"},
		{"largest 64-bit integer as an offset", "Last-Event-ID", "9223372036854775807"},
		{"offset that overflows a 64-bit integer", "Last-Event-ID", "9223372036854775808"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := read(c.header, c.value)
			var v *sardineknot.InvalidError
			is.New(t).True(errors.As(err, &v))
			is.New(t).Equal(v.What, c.header)
		})
	}
}

func TestReadRefusesUnknown(t *testing.T) {
	for _, c := range []struct{ name, header, value, what string }{
		{"account", "X-Client-Account", "other", "ClientAccount"},
		{"work", "X-Work", "tax-note", "Work"},
		{"no work", "X-Work", "", "Work"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := read(c.header, c.value)
			var u *sardineknot.UnknownError
			is.New(t).True(errors.As(err, &u))
			is.New(t).Equal(u.What, c.what)
			is.New(t).Equal(u.Name, c.value)
		})
	}
}
