package reach

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot/internal/backend/tcp"
)

// attempt is an attempt of this host to connect to a server itself.
type attempt struct {
	cancel context.CancelFunc
	// done is closed when conn and err are set.
	done chan struct{}
	conn net.Conn
	err  error
}

// start starts an attempt to connect to address.
func (d *Dialer) start(ctx context.Context, address netip.AddrPort) *attempt {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	a := &attempt{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer cancel()
		a.conn, a.err = d.direct(ctx, address)
		if a.err == nil {
			d.recordReached()
		}
		close(a.done)
	}()
	return a
}

// connectsSoon reports whether the attempt connects within slowConnectTime.
func (a *attempt) connectsSoon() bool {
	t := time.NewTimer(slowConnectTime)
	defer t.Stop()
	select {
	case <-a.done:
		return a.err == nil
	case <-t.C:
		return false
	}
}

// wait waits for the end of the attempt and returns its result.
func (a *attempt) wait() (net.Conn, error) {
	<-a.done
	return a.conn, errors.WithStack(a.err)
}

// abandon ends the attempt, whose connection is not needed.
func (a *attempt) abandon() {
	a.cancel()
	go func() {
		<-a.done
		if a.err == nil {
			a.conn.Close()
		}
	}()
}

// direct connects to address.
func (d *Dialer) direct(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if d.Direct != nil {
		return d.Direct(ctx, address)
	}
	return tcp.Dialer{}.Dial(ctx, address)
}
