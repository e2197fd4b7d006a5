package tcp

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// openTime is the time for which a connection must stay open to show that the process which
// accepts connections is running. The kernel may accept one just before it closes the
// listener of a killed process, and then resets it.
const openTime = 10 * time.Millisecond

// StaysOpen closes connection after openTime, or once ctx is done. It fails if the peer ends
// connection before.
func StaysOpen(ctx context.Context, connection net.Conn) error {
	defer connection.Close()
	ctx, cancel := context.WithTimeout(ctx, openTime)
	defer cancel()
	t, _ := ctx.Deadline()
	_ = connection.SetReadDeadline(t) // it fails only for connections that are closed already
	_, err := connection.Read(make([]byte, 1))
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return errors.WithStack(err)
}
