// Package relay passes TCP connections on and cuts or silences them on demand.
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

// Relay passes connections on to one address. The fault Cut closes all
// connections and refuses new ones. The fault SilenceOpen, set to a positive
// number, makes the connections that are open at the next byte silent for
// good; new ones work.
type Relay struct {
	// To is the address that connections are passed on to.
	To netip.AddrPort
	// Faults is not nil.
	Faults *fault.Control

	mu sync.Mutex
	// generation numbers connections opened between two silences.
	generation int
	// silenced is the last generation that is silent.
	silenced int
}

// Serve accepts connections of l until ctx is done.
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
		go r.pass(ctx, c)
	}
}

func (r *Relay) pass(ctx context.Context, c net.Conn) {
	defer c.Close()
	if r.Faults.On("Cut") {
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
	g.Go(func() error { return r.copy(d, c, n) })
	g.Go(func() error { return r.copy(c, d, n) })
	_ = g.Wait()
}

// copy passes bytes on from c to w. Generation n tells when the pair opened.
func (r *Relay) copy(w, c net.Conn, n int) error {
	defer w.Close()
	b := make([]byte, 32<<10)
	for {
		m, err := c.Read(b)
		if err != nil {
			return err
		}
		if r.Faults.On("Cut") {
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

func (r *Relay) isSilent(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Faults.Take("SilenceOpen") {
		r.silenced = r.generation
		r.generation++
	}
	return n <= r.silenced
}
