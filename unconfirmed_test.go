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

// TestAnotherInstance guards against a request that counts as one that has ended its server,
// because the next process under the name of the server has answered it.
func TestAnotherInstance(t *testing.T) {
	e := &sardineknot.UnavailableError{Peer: "a", Cause: &sardineknot.UnconfirmedInstanceError{Server: "a", Cause: io.EOF}}
	is.New(t).True(!e.ServerMayHaveEnded())
}

// TestMalformedHead guards against a request that counts as one that has ended its server,
// because the server has sent a malformed head.
func TestMalformedHead(t *testing.T) {
	e := &sardineknot.UnavailableError{Peer: "a", Cause: &sardineknot.MalformedHeadError{Reason: "a line has no colon"}}
	is.New(t).True(!e.ServerMayHaveEnded())
}
