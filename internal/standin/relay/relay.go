// Package relay implements a TCP proxy whose connections can be closed or
// silenced on demand.
package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"

	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot/internal/standin/fault"
)

// Relay is a TCP proxy for one address. While the fault Cut is active, it
// closes new connections, and open ones when data arrives on them. The fault
// SilenceOpen is a count. If data arrives while the count is positive, the
// relay decrements it and silences all connections that are open at that time:
// it discards their data without closing them. Later connections are not
// affected.
type Relay struct {
	// To is the address that the relay connects to.
	To netip.AddrPort
	// Faults holds the active faults. It is not nil.
	Faults *fault.Injector

	mu sync.Mutex
	// generation is the number that new connections get. It starts at 1 and is
	// incremented each time the open connections are silenced, so that it
	// distinguishes later connections from silenced ones.
	generation int
	// silenced is the highest generation whose connections are silenced. Those
	// of all lower generations are silenced as well. 0 means none.
	silenced int
}

// Serve accepts connections from l until ctx is done, and closes l then. It
// returns an error if accepting fails before that.
func (r *Relay) Serve(ctx context.Context, l net.Listener) error {
	r.mu.Lock()
	r.generation = 1
	r.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go r.proxy(ctx, c)
	}
}

// proxy connects c to r.To and forwards data in both directions until either
// side closes its connection.
func (r *Relay) proxy(ctx context.Context, c net.Conn) {
	defer c.Close()
	if r.Faults.Active("Cut") {
		return
	}
	d, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.To.String())
	if err != nil {
		return
	}
	defer d.Close()
	r.mu.Lock()
	n := r.generation
	r.mu.Unlock()
	var g errgroup.Group
	g.Go(func() error { return r.forward(d, c, n) })
	g.Go(func() error { return r.forward(c, d, n) })
	_ = g.Wait()
}

// forward copies data from c to w until reading or writing fails or the fault
// Cut is active, and closes w then. n is the generation of the pair of
// connections.
func (r *Relay) forward(w, c net.Conn, n int) error {
	defer w.Close()
	b := make([]byte, 32<<10)
	for {
		m, err := c.Read(b)
		if err != nil {
			return err
		}
		if r.Faults.Active("Cut") {
			return io.ErrClosedPipe
		}
		if r.isSilent(n) {
			continue
		}
		_, err = w.Write(b[:m])
		if err != nil {
			return err
		}
	}
}

// isSilent reports whether connections of generation n are silenced. If the
// fault SilenceOpen is positive, isSilent decrements it and silences all open
// connections first.
func (r *Relay) isSilent(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Faults.Consume("SilenceOpen") {
		r.silenced = r.generation
		r.generation++
	}
	return n <= r.silenced
}
