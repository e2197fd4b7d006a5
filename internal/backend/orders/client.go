// Package orders sends orders to model engines over HTTP. An order names the
// model to load and the role to assume, and carries a fencing token.
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
	"sardineknot.example/sardineknot/internal/peer/nethttp"
	api "sardineknot.example/sardineknot/internal/rpc/openai"
)

const (
	callTimeout      = time.Second
	maxResponseBytes = 1 << 16
)

// Client is a sardineknot.EngineOrderClient. It is safe for concurrent use.
type Client struct {
	clock     sardineknot.Clock
	transport *nethttp.Transport
}

var _ sardineknot.EngineOrderClient = (*Client)(nil)

// NewClient returns a client that uses c to check that the SendBefore time of
// an order has not passed. It opens a connection for each request, so that the
// transport never sends an order twice.
func NewClient(c sardineknot.Clock) *Client {
	return &Client{clock: c, transport: nethttp.NewTransport(&http.Transport{DisableKeepAlives: true})}
}

// State implements sardineknot.EngineOrderClient.
func (c *Client) State(ctx context.Context, server sardineknot.BackendServer) (state sardineknot.EngineState, loading bool, err error) {
	b, err := c.do(ctx, server, http.MethodGet, "/v1/state", nil, time.Time{})
	if err != nil {
		return state, false, err
	}
	var a api.StateResponse
	err = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(b, &a)
	if err != nil {
		return state, false, errors.WithStack(err)
	}
	state = sardineknot.EngineState{Model: a.GetModel(), Version: a.GetVersion(), Role: sardineknot.BackendRole(a.GetRole())}
	return state, a.GetLoading(), nil
}

// SendOrder implements sardineknot.EngineOrderClient.
func (c *Client) SendOrder(ctx context.Context, server sardineknot.BackendServer, order sardineknot.EngineOrder) error {
	q := &api.OrderRequest{
		Model:         order.Target.Model,
		Version:       order.Target.Version,
		Role:          string(order.Target.Role),
		FencingNumber: int64(order.Token),
	}
	b, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(q)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = c.do(ctx, server, http.MethodPost, "/v1/orders", b, order.SendBefore)
	var f *sardineknot.RefusedError
	if errors.As(err, &f) && f.Status == http.StatusConflict || errors.Is(err, errExpired) {
		return errors.WithStack(&sardineknot.StaleOrderError{Server: server.Name, Token: order.Token})
	}
	return err
}

// errExpired reports a request that was not sent because its deadline has
// passed.
var errExpired = errors.New("deadline for sending the request has passed")

// do sends a request and returns the body of a response with status 200. If
// sendBefore is not the zero time, the request is not sent at or after that
// time. The clock is read when the connection is open, right before the first
// byte is sent.
func (c *Client) do(ctx context.Context, server sardineknot.BackendServer, method, path string, body []byte, sendBefore time.Time) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := &deadlineBody{Reader: bytes.NewReader(body), clock: c.clock, deadline: sendBefore}
	h, err := http.NewRequestWithContext(ctx, method, "http://"+server.Address.String()+path, r)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	h.ContentLength = int64(len(body))
	p, err := c.transport.RoundTrip(h)
	if r.expired.Load() {
		// The transport does not always return the error of a request body.
		return nil, errors.WithStack(errExpired)
	}
	if err != nil {
		return nil, errors.WithStack(&sardineknot.UnavailableError{Peer: string(server.Name), Cause: err})
	}
	defer p.Body.Close()
	if p.StatusCode != http.StatusOK {
		return nil, errors.WithStack(&sardineknot.RefusedError{Server: server.Name, Status: p.StatusCode})
	}
	b, err := io.ReadAll(io.LimitReader(p.Body, maxResponseBytes))
	return b, errors.WithStack(err)
}

// deadlineBody is a request body that cannot be read at or after a deadline,
// so that a process that was paused before it sent a request does not send it
// afterwards.
type deadlineBody struct {
	*bytes.Reader
	clock    sardineknot.Clock
	deadline time.Time
	// expired is set when a read has failed because of the deadline.
	expired atomic.Bool
}

// Read implements io.Reader.
func (b *deadlineBody) Read(buffer []byte) (int, error) {
	if !b.deadline.IsZero() && !b.clock.Now().Before(b.deadline) {
		b.expired.Store(true)
		return 0, errExpired
	}
	return b.Reader.Read(buffer)
}

// Close implements io.Closer.
func (*deadlineBody) Close() error { return nil }
