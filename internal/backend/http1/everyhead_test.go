package http1_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/standin/brokenanswer"
)

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
