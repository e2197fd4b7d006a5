package sardineknot

import (
	"context"
	"fmt"
	"syscall"

	"github.com/pkg/errors"
)

// ServerProber queries backend servers for signs of life. Implementations are safe for
// concurrent use.
type ServerProber interface {
	// Probe returns nil once a process under the name of server has answered a query, and so
	// was running after the call of Probe. It fails with an InstanceError if another process
	// than the one that server describes is known to have answered, and with another error
	// if none has. identified reports whether the answer shows that it was that process, and
	// not a later one under the same name. service is that of server. If it is a plain one,
	// it has a health path.
	Probe(ctx context.Context, server BackendServer, service Service) (identified bool, err error)
}

// InstanceError reports that the address of a backend server belongs to another process.
type InstanceError struct {
	Server BackendServerName
}

// Error implements error.
func (e *InstanceError) Error() string {
	return fmt.Sprintf("another process has the address of %s", e.Server)
}

// UnconfirmedEndError reports that the connection ended that marks the end of an answer, and
// that the process of the server could not be shown to be running after that. The answer may
// be incomplete.
type UnconfirmedEndError struct {
	Server BackendServerName
	// Cause is the error of the probe. It is not nil. It is not unwrapped, since it
	// concerns the query and not the request that was answered.
	Cause error
}

// Error implements error.
func (e *UnconfirmedEndError) Error() string {
	return fmt.Sprintf("the end of the answer of %s is not confirmed: %v", e.Server, e.Cause)
}

// ServerGone reports whether the process of the server has ended: its address accepts no
// connections, from this host or from the one through which this host connects, or belongs
// to another process.
func (e *UnconfirmedEndError) ServerGone() bool {
	var i *InstanceError
	var n *NotReachedError
	return errors.As(e.Cause, &i) || errors.As(e.Cause, &n) || errors.Is(e.Cause, syscall.ECONNREFUSED)
}

// UnconfirmedInstanceError reports that a stream was to resume on a backend server whose
// process could not be shown to be the one that was expected.
type UnconfirmedInstanceError struct {
	Server BackendServerName
	// Cause is the error of the probe. It is not nil. It is not unwrapped, since it
	// concerns the query and not the request that was answered.
	Cause error
}

// Error implements error.
func (e *UnconfirmedInstanceError) Error() string {
	return fmt.Sprintf("the process of %s is not confirmed: %v", e.Server, e.Cause)
}
