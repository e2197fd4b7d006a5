package httpsd_test

import (
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/platform/httpsd"
	"sardineknot.example/sardineknot/internal/standin/brokenanswer"
)

// TestResetList guards against a list that counts as whole although its response broke off after
// the JSON value.
func TestResetList(t *testing.T) {
	for _, a := range brokenanswer.Resets("", "[]") {
		t.Run(a.Name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.New(t).NoErr(err)
			defer l.Close()
			go a.Serve(l, func(*http.Request) string { return "" })
			_, err = httpsd.NewClient(netip.MustParseAddrPort(l.Addr().String())).Fetch(t.Context())
			var u *sardineknot.UnavailableError
			is.New(t).True(errors.As(err, &u))
		})
	}
}
