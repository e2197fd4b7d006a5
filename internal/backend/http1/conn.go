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
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/responsehead"
)

const (
	// bufferBytes is the size of the read buffer of a connection.
	bufferBytes = 4 << 10
	// maxStrayResponses bounds the responses that are read to find the response
	// to the current request. Interim responses and late responses to earlier
	// requests are skipped.
	maxStrayResponses = 3
	// maxStrayBytes bounds the body of a response that is skipped.
	maxStrayBytes = 1 << 20
	// maxEchoed bounds the exchanges for which a connection is not used by another one
	// with the same value, such as the repetition of a call that the server refused.
	maxEchoed = 16
)

// conn is a connection to a backend server. It is used for one exchange at a
// time.
type conn struct {
	net.Conn
	client *Client
	server netip.AddrPort
	// through is the entry host through which the connection goes, or empty.
	through sardineknot.EntryHostID
	// head checks the heads of responses, and reader reads from it.
	head   *responsehead.Conn
	reader *bufio.Reader
	// echoed holds the echoed values of the last maxEchoed exchanges.
	echoed []string
	// idleSince is the time at which the connection became idle, and
	// idleTimeout the time for which it may stay idle.
	idleSince   time.Time
	idleTimeout time.Duration
	// idleRead receives the result of the read on the idle connection.
	idleRead chan error
	// written receives the error of writing the request, or nil.
	written chan error
}

func newConn(owner *Client, address netip.AddrPort, socket net.Conn) *conn {
	h := responsehead.NewConn(socket)
	k := &conn{Conn: socket, client: owner, server: address, head: h, reader: bufio.NewReaderSize(h, bufferBytes), idleTimeout: maxIdleTime}
	if t, ok := socket.(sardineknot.TunnelConn); ok {
		k.through = t.Host()
	}
	return k
}

// suits reports whether k, which is idle, may carry exchange at the time now: it has carried none
// with the same echoed value and, with FreshConnection set, its idle time is within bounds.
func (k *conn) suits(exchange sardineknot.ExchangeRequest, now time.Time) bool {
	if slices.Contains(k.echoed, exchange.EchoValue) {
		return false
	}
	return !exchange.FreshConnection || k.isFresh(now.Sub(k.idleSince))
}

// isFresh reports whether k may carry an exchange with FreshConnection set after the time idle.
func (k *conn) isFresh(idle time.Duration) bool {
	d := minFreshIdleTime
	if k.through != "" {
		d = minFreshTunnelIdleTime
	}
	return d <= idle && idle <= maxFreshIdleTime
}

// startIdleRead starts a read on the idle connection, which detects that the
// server closes the connection or sends unexpected bytes.
func (k *conn) startIdleRead() {
	k.idleRead = make(chan error, 1)
	go func() {
		_, err := k.reader.Peek(1)
		k.idleRead <- err
	}()
}

// stopIdleRead ends the read of startIdleRead. It reports whether the
// connection is usable: open and without unread bytes.
func (k *conn) stopIdleRead() bool {
	_ = k.SetReadDeadline(time.Unix(1, 0))
	err := <-k.idleRead
	if !errors.Is(err, os.ErrDeadlineExceeded) || k.reader.Buffered() > 0 {
		return false
	}
	return k.SetReadDeadline(time.Time{}) == nil
}

// roundTrip sends a request and returns the response as soon as its head is
// read. The request is written concurrently.
func (k *conn) roundTrip(ctx context.Context, exchange sardineknot.ExchangeRequest) (*sardineknot.Response, error) {
	stop := context.AfterFunc(ctx, func() { k.Close() })
	k.written = make(chan error, 1)
	if exchange.EchoHeader != "" {
		k.echoed = append(k.echoed[max(0, len(k.echoed)-maxEchoed+1):], exchange.EchoValue)
	}
	q := encode(exchange)
	go func() {
		_, err := q.WriteTo(k.Conn)
		k.written <- err
	}()
	k.client.await(k)
	p, err := k.readResponse(exchange)
	k.client.endWait(k, err)
	if err != nil {
		stop()
		k.Close()
		return nil, errors.WithStack(k.unavailable(cause(ctx, err)))
	}
	b := &body{conn: k, response: p, stop: stop, context: ctx}
	f := framing(p)
	k.client.answers[f].Inc(1)
	return &sardineknot.Response{Status: p.StatusCode, Header: p.Header, Framing: f, Body: b}, nil
}

// framing returns how the end of the body of response is marked.
func framing(response *http.Response) sardineknot.Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return sardineknot.FramingChunks
	case response.ContentLength >= 0 || response.Body == http.NoBody:
		return sardineknot.FramingLength
	default:
		return sardineknot.FramingConnection
	}
}

// unavailable returns the error for an exchange that broke off with err.
func (k *conn) unavailable(err error) error {
	t, ok := k.Conn.(sardineknot.TunnelConn)
	return &sardineknot.UnavailableError{Peer: k.server.String(), Through: k.through, ServerEnded: ok && t.ServerEnded(), Cause: err}
}

// cause returns the cause of ctx if ctx is done, since err is then only the
// effect of closing the connection. Otherwise it returns err.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// readResponse reads the head of the response to exchange. It skips interim
// responses and late responses to earlier requests, which do not repeat the
// echo header of exchange.
func (k *conn) readResponse(exchange sardineknot.ExchangeRequest) (*http.Response, error) {
	r := &http.Request{Method: exchange.Method}
	for range maxStrayResponses {
		p, err := k.readHead(r)
		if err != nil {
			return nil, err
		}
		if p.StatusCode < http.StatusOK {
			continue
		}
		if exchange.EchoHeader == "" || p.Header.Get(exchange.EchoHeader) == exchange.EchoValue {
			return p, nil
		}
		if err := discardBody(p); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("too many responses to other requests")
}

// readHead reads the head of a response to request.
func (k *conn) readHead(request *http.Request) (*http.Response, error) {
	b, err := k.reader.Peek(k.reader.Buffered())
	if err == nil {
		err = k.head.Begin(b)
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p, err := http.ReadResponse(k.reader, request)
	return p, errors.WithStack(err)
}

// discardBody reads and drops the body of a late response to an earlier request,
// so that the next response on the connection can be read. It fails if the
// server closes the connection after the late response, or if the body is longer
// than maxStrayBytes. It never closes the body, since that would read it to its
// end.
func discardBody(response *http.Response) error {
	if response.Close {
		return errors.New("server closes the connection after a response to another request")
	}
	b := make([]byte, bufferBytes)
	for n := 0; n < maxStrayBytes; {
		m, err := response.Body.Read(b)
		n += m
		if err != nil {
			return ignoreEOF(err)
		}
	}
	return errors.New("response to another request is too long")
}

// maxCopiedBytes is the length up to which the body of a request is copied, so that it is
// written together with the head.
const maxCopiedBytes = 16 << 10

// encode returns the bytes of the request of exchange. A long body is not copied.
func encode(exchange sardineknot.ExchangeRequest) net.Buffers {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", exchange.Method, exchange.Target, exchange.Host)
	if len(exchange.Body) > 0 || exchange.Method != http.MethodGet && exchange.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(exchange.Body)) + "\r\n")
	}
	// Header.Write fails only if the writer does, and a bytes.Buffer never
	// does.
	_ = exchange.Header.Write(&b)
	b.WriteString("\r\n")
	if len(exchange.Body) > maxCopiedBytes {
		return net.Buffers{b.Bytes(), exchange.Body}
	}
	b.Write(exchange.Body)
	return net.Buffers{b.Bytes()}
}

// parseIdleTimeout returns the time for which a connection may stay idle after
// the given response. It is shorter than the timeout that the server announces,
// to leave a margin for the transmission of the next request.
func parseIdleTimeout(response *http.Response) time.Duration {
	for _, f := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(v)
		if err == nil && n >= 0 {
			return min(maxIdleTime, time.Duration(n)*time.Second*idleTimeoutNumerator/idleTimeoutDenominator)
		}
	}
	return maxIdleTime
}

// idleTimeoutNumerator/idleTimeoutDenominator is the fraction of the server's
// idle timeout for which a connection is kept.
const (
	idleTimeoutNumerator   = 3
	idleTimeoutDenominator = 5
)
