package tcp

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// connectTimeout bounds the time to connect to a server. A server whose accept queue is
// full responds only after seconds, which is too late.
const connectTimeout = 400 * time.Millisecond

// Dialer is a sardineknot.ServerDialer that uses TCP only.
type Dialer struct{}

var _ sardineknot.ServerDialer = Dialer{}

// Dial implements sardineknot.ServerDialer. A read of the connection reports a reset also if a
// write has been the first to notice it.
func (Dialer) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	c, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return newConn(c), nil
}

// Usable implements sardineknot.ServerDialer.
func (Dialer) Usable(net.Conn) bool { return true }

// ReportSilence implements sardineknot.ServerDialer.
func (Dialer) ReportSilence() {}
