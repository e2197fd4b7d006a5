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
func (d Dialer) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return d.DialContext(ctx, "tcp", address.String())
}

// DialContext connects to address, within the time of ctx. It has the signature of the field of
// the same name of http.Transport. The connection is like one of Dial.
func (Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return newConn(c), nil
}

// Usable implements sardineknot.ServerDialer.
func (Dialer) Usable(net.Conn) bool { return true }

// ReportSilence implements sardineknot.ServerDialer.
func (Dialer) ReportSilence() {}
