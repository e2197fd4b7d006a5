package h2c_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/h2c"
)

// open returns the stream of an answer whose host sends text and ends the response.
func open(t *testing.T, text string) sardineknot.TokenStream {
	v := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }))
	t.Cleanup(v.Close)
	a := sardineknot.AnswerRecord{Host: "h", PeerAddress: netip.MustParseAddrPort(v.Listener.Addr().String())}
	s, err := (&h2c.Relay{Client: v.Client()}).Open(t.Context(), a, 1, 0)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// TestEndOfRelay guards against the end of a response that is taken for the end of an answer:
// only a message marks that.
func TestEndOfRelay(t *testing.T) {
	const whole = `{"Text":"a"}` + "\n" + `{"Index":1,"Text":"b"}` + "\n" + `{"End":"Whole"}`
	for n := range len(whole) + 1 {
		s := open(t, whole[:n])
		tokens := 0
		var err error
		for ; err == nil; tokens++ {
			_, err = s.Next()
		}
		var u *sardineknot.UnavailableError
		is := is.New(t)
		is.Equal(errors.Is(err, io.EOF), n == len(whole))
		is.Equal(errors.As(err, &u), n < len(whole))
		is.Equal(tokens-1, strings.Count(whole[:n], "\"}")-strings.Count(whole[:n], "Whole\"}"))
	}
}
