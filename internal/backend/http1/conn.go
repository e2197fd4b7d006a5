package http1

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// bufferBytes is the size of the read buffer of a connection.
	bufferBytes = 4 << 10
	// maxStrays bounds the answers of earlier exchanges that are skipped.
	maxStrays = 3
	// maxStrayBytes bounds the body of such an answer.
	maxStrayBytes = 1 << 20
)

// conn is a connection to a backend server. One exchange uses it at a time.
type conn struct {
	net.Conn
	client *Client
	server netip.AddrPort
	reader *bufio.Reader
	// since is the time from which the connection is idle, and keep the time
	// for which it may be.
	since time.Time
	keep  time.Duration
	// watch receives the result of reading from the idle connection.
	watch chan error
	// written receives the result of writing the request.
	written chan error
}

func newConn(c *Client, a netip.AddrPort, n net.Conn) *conn {
	return &conn{Conn: n, client: c, server: a, reader: bufio.NewReaderSize(n, bufferBytes), keep: idleLimit}
}

// sleep reads from the idle connection, so that its end or a stray byte is
// noticed.
func (k *conn) sleep() {
	k.watch = make(chan error, 1)
	go func() {
		_, err := k.reader.Peek(1)
		k.watch <- err
	}()
}

// wakeUp ends the reading of sleep. It reports whether the connection is good:
// open and with nothing to read.
func (k *conn) wakeUp() bool {
	_ = k.SetReadDeadline(time.Unix(1, 0))
	err := <-k.watch
	if !errors.Is(err, os.ErrDeadlineExceeded) || k.reader.Buffered() > 0 {
		return false
	}
	return k.SetReadDeadline(time.Time{}) == nil
}

// exchange sends e and returns the answer.
func (k *conn) exchange(ctx context.Context, e sardineknot.Exchange) (*sardineknot.Reply, error) {
	stop := context.AfterFunc(ctx, func() { k.Close() })
	k.written = make(chan error, 1)
	q := encode(e)
	go func() {
		_, err := k.Write(q)
		k.written <- err
	}()
	p, err := k.answer(e)
	if err != nil {
		stop()
		k.Close()
		return nil, errors.WithStack(&sardineknot.UnavailableError{Peer: k.server.String(), Cause: cause(ctx, err)})
	}
	b := &body{conn: k, response: p, stop: stop, context: ctx}
	return &sardineknot.Reply{Status: p.StatusCode, Header: p.Header, Body: b}, nil
}

// cause prefers the end of ctx to the error that closing the connection makes.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// answer reads the head of the answer to e.
func (k *conn) answer(e sardineknot.Exchange) (*http.Response, error) {
	r := &http.Request{Method: e.Method}
	for range maxStrays {
		p, err := http.ReadResponse(k.reader, r)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if p.StatusCode < http.StatusOK {
			continue
		}
		if e.EchoHeader == "" || p.Header.Get(e.EchoHeader) == e.Echo {
			return p, nil
		}
		if err := skip(p); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("too many answers to other requests")
}

// skip reads the body of an answer to another request.
func skip(p *http.Response) error {
	defer p.Body.Close()
	if p.Close {
		return errors.New("the answer is to another request, and the last")
	}
	b := make([]byte, bufferBytes)
	for n := 0; n < maxStrayBytes; {
		m, err := p.Body.Read(b)
		n += m
		if err != nil {
			return eof(err)
		}
	}
	return errors.New("an answer to another request is too long")
}

// encode returns the bytes of the request e.
func encode(e sardineknot.Exchange) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", e.Method, e.Target, e.Host)
	if len(e.Body) > 0 || e.Method != http.MethodGet && e.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(e.Body)) + "\r\n")
	}
	// Only fails if the buffer does.
	_ = e.Header.Write(&b)
	b.WriteString("\r\n")
	b.Write(e.Body)
	return b.Bytes()
}

// keepTime returns how long the server keeps an idle connection after p, with
// a margin for the way of the next request.
func keepTime(p *http.Response) time.Duration {
	for _, f := range strings.Split(p.Header.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(v)
		if err == nil && n >= 0 {
			return min(idleLimit, time.Duration(n)*time.Second*keepShare/keepWhole)
		}
	}
	return idleLimit
}

// keepShare of keepWhole is the part of the server's idle time that is used.
const (
	keepShare = 3
	keepWhole = 5
)
