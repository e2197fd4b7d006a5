package httpsd_test

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
	"sardineknot.example/sardineknot/internal/platform/httpsd"
)

// TestCutList guards against a part of the host list that is taken for the whole one because
// its service is killed: hosts would be missing. The answers have neither a length nor chunks.
func TestCutList(t *testing.T) {
	const whole = `[{"targets":["127.0.0.1:1"],"labels":{"name":"a"}},{"targets":["127.0.0.1:2"],"labels":{"name":"b"}}]`
	for n := range len(whole) + 1 {
		v := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+whole[:n])
				c.Close()
			}
		}))
		l, err := httpsd.NewClient(netip.MustParseAddrPort(strings.TrimPrefix(v.URL, "http://"))).Fetch(t.Context())
		v.Close()
		var u *sardineknot.UnavailableError
		is.New(t).Equal(errors.As(err, &u), n < len(whole))
		is.New(t).Equal(len(l) == 2, n == len(whole))
	}
}
