package orders

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// TestCutState guards against a part of the state of an engine that is taken for the whole one
// because the engine is killed: it would get an order that it has executed. The answer has
// neither a length nor chunks.
func TestCutState(t *testing.T) {
	const whole = `{"model":"m","version":"12","role":"decode","loading":true}`
	for n := range len(whole) + 1 {
		v := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+whole[:n])
				c.Close()
			}
		}))
		a := netip.MustParseAddrPort(strings.TrimPrefix(v.URL, "http://"))
		_, _, err := NewClient(&clock{time.Now()}).State(t.Context(), sardineknot.BackendServer{Name: "e", Address: a})
		v.Close()
		is.New(t).Equal(err == nil, n == len(whole))
	}
}
