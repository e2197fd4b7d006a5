package http1_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/standin/brokenanswer"
)

// tokenBytes holds all bytes that may be in the name of a field.
const tokenBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// isFinal reports whether status is that of a final response.
func isFinal(status int) bool { return status >= http.StatusOK && status < 600 }

// isInterim reports whether status is that of a response that another one follows.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// isEmpty reports whether a response with status has no body. Without the identifier, it is a late
// one to another request, which is skipped.
func isEmpty(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

// TestEveryStatus guards against statuses of no response that callers get, and against the bytes
// after a head that are taken for the answer although it is not an interim one.
func TestEveryStatus(t *testing.T) {
	for s := range 1000 {
		single, before := brokenanswer.Status(echoFields, s)
		t.Run(single.Name, func(t *testing.T) {
			t.Parallel()
			c := newClient()
			p, err := c.Exchange(t.Context(), startAnswering(t, single), sardineknot.ExchangeRequest{Method: http.MethodPost, Target: "/", Host: "h", EchoHeader: "Id", EchoValue: "2"})
			if !isFinal(s) {
				assertBroken(t, "", err)
				return
			}
			is := is.New(t)
			is.NoErr(err)
			is.Equal(p.Status, s)
			b, err := io.ReadAll(p.Body)
			is.NoErr(err)
			is.Equal(string(b) == brokenanswer.Part, !isEmpty(s))
		})
		t.Run(before.Name, func(t *testing.T) {
			t.Parallel()
			b, err := play(t, startAnswering(t, before), false, 1)
			if !isInterim(s) && !isEmpty(s) {
				assertBroken(t, b, err)
				return
			}
			is.New(t).NoErr(err)
			is.New(t).Equal(b, brokenanswer.Whole)
		})
	}
}

// TestEveryByteOfNames guards against names of fields with bytes that may not be in one. A colon
// ends a name, so that the rest of it belongs to the value.
func TestEveryByteOfNames(t *testing.T) {
	for i := range 256 {
		c := string([]byte{byte(i)})
		for n, sound := range map[string]bool{c + "A": c != ":", "A" + c + "B": true, "A" + c: true, c: c != ":"} {
			a := brokenanswer.FieldName(echoFields, n)
			t.Run(fmt.Sprintf("%q", n), func(t *testing.T) {
				t.Parallel()
				b, err := play(t, startAnswering(t, a), false, 1)
				if sound && (c == ":" || strings.Contains(tokenBytes, c)) {
					is.New(t).NoErr(err)
					is.New(t).Equal(b, brokenanswer.Whole)
					return
				}
				assertBroken(t, b, err)
			})
		}
	}
}
