//go:build review

package harness2

import (
	"io"
	"net"
	"sync"
)

// link is a connection between two machines: a proxy that can be cut. While it is cut, bytes
// and the ends of connections wait, and no connection is accepted. They go on once it is healed.
type link struct {
	to       string
	listener net.Listener

	mu     sync.Mutex
	healed sync.Cond
	cut    bool
}

func newLink(to string) (*link, error) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{to: to, listener: n}
	l.healed.L = &l.mu
	go l.serve()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// setCut cuts the link or heals it.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.healed.Broadcast()
}

// await waits while the link is cut.
func (l *link) await() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut {
		l.healed.Wait()
	}
}

func (l *link) serve() {
	for {
		l.await()
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(c)
	}
}

func (l *link) connect(c net.Conn) {
	l.await()
	d, err := net.Dial("tcp", l.to)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
		return
	}
	go l.forward(d, c)
	l.forward(c, d)
}

// forward passes what it reads from one connection to the other, and its end as it was: orderly
// or by a reset.
func (l *link) forward(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		l.await()
		if n > 0 {
			if _, e := to.Write(b[:n]); e != nil {
				from.Close()
				return
			}
		}
		switch err {
		case nil:
		case io.EOF:
			_ = to.(*net.TCPConn).CloseWrite()
			return
		default:
			_ = to.(*net.TCPConn).SetLinger(0)
			to.Close()
			return
		}
	}
}
