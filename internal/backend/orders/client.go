// Package orders gives orders to model engines over HTTP: what to load and
// which role to take, with a fencing number.
package orders

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"sardineknot.example/sardineknot"
	api "sardineknot.example/sardineknot/internal/rpc/openai"
)

const (
	timeout          = time.Second
	maxResponseBytes = 1 << 16
)

// Client is a sardineknot.OrderedEngine. It is safe for concurrent use.
type Client struct {
	clock     sardineknot.Clock
	transport *http.Transport
}

var _ sardineknot.OrderedEngine = (*Client)(nil)

// NewClient returns a client that tells by c whether an order may be sent. It
// opens a connection for each call, so that an order is never sent twice by
// the transport.
func NewClient(c sardineknot.Clock) *Client {
	return &Client{clock: c, transport: &http.Transport{DisableKeepAlives: true}}
}

// State implements sardineknot.OrderedEngine.
func (c *Client) State(ctx context.Context, s sardineknot.BackendServer) (e sardineknot.EngineState, loading bool, err error) {
	b, err := c.do(ctx, s, http.MethodGet, "/v1/state", nil, time.Time{})
	if err != nil {
		return e, false, err
	}
	var a api.StateResponse
	err = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(b, &a)
	if err != nil {
		return e, false, errors.WithStack(err)
	}
	e = sardineknot.EngineState{Model: a.GetModel(), Version: a.GetVersion(), Role: sardineknot.BackendRole(a.GetRole())}
	return e, a.GetLoading(), nil
}

// Give implements sardineknot.OrderedEngine.
func (c *Client) Give(ctx context.Context, s sardineknot.BackendServer, o sardineknot.Order) error {
	q := &api.OrderRequest{
		Model:         o.Want.Model,
		Version:       o.Want.Version,
		Role:          string(o.Want.Role),
		FencingNumber: int64(o.Number),
	}
	b, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(q)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = c.do(ctx, s, http.MethodPost, "/v1/orders", b, o.SendBefore)
	var f *sardineknot.RefusedError
	if errors.As(err, &f) && f.Status == http.StatusConflict || errors.Is(err, errLate) {
		return errors.WithStack(&sardineknot.StaleOrderError{Server: s.Name, Number: o.Number})
	}
	return err
}

// errLate reports a call that was not sent because its time is over.
var errLate = errors.New("too late to send")

// do sends a call and returns the body of an answer with status 200. A call
// with a time sendBefore is not sent after it: the time is looked at once the
// connection is open, right before the first byte.
func (c *Client) do(ctx context.Context, s sardineknot.BackendServer, method, path string, body []byte, sendBefore time.Time) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := &guarded{Reader: bytes.NewReader(body), clock: c.clock, before: sendBefore}
	h, err := http.NewRequestWithContext(ctx, method, "http://"+s.Address.String()+path, r)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	h.ContentLength = int64(len(body))
	p, err := c.transport.RoundTrip(h)
	if r.late.Load() {
		// The transport does not always pass the error of a body on.
		return nil, errors.WithStack(errLate)
	}
	if err != nil {
		return nil, errors.WithStack(&sardineknot.UnavailableError{Peer: string(s.Name), Cause: err})
	}
	defer p.Body.Close()
	if p.StatusCode != http.StatusOK {
		return nil, errors.WithStack(&sardineknot.RefusedError{Server: s.Name, Status: p.StatusCode})
	}
	b, err := io.ReadAll(io.LimitReader(p.Body, maxResponseBytes))
	return b, errors.WithStack(err)
}

// guarded is a body that fails after a time, so that a process that was paused
// before it sent a call does not send it afterwards.
type guarded struct {
	*bytes.Reader
	clock  sardineknot.Clock
	before time.Time
	// late tells that a read came too late.
	late atomic.Bool
}

// Read implements io.Reader.
func (g *guarded) Read(b []byte) (int, error) {
	if !g.before.IsZero() && !g.clock.Now().Before(g.before) {
		g.late.Store(true)
		return 0, errLate
	}
	return g.Reader.Read(b)
}

// Close implements io.Closer.
func (*guarded) Close() error { return nil }
