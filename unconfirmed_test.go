package sardineknot_test

import (
	"io"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// TestUnconfirmedEndThroughHost guards against a crash of a server that is reported although
// only the host through which it was queried may have ended.
func TestUnconfirmedEndThroughHost(t *testing.T) {
	for _, ended := range []bool{false, true} {
		e := &sardineknot.UnavailableError{Peer: "a", Cause: &sardineknot.UnconfirmedEndError{
			Server: "a", Cause: &sardineknot.UnavailableError{Peer: "a", Through: "h", ServerEnded: ended, Cause: io.EOF},
		}}
		is.New(t).Equal(e.ServerMayHaveEnded(), ended)
	}
}
