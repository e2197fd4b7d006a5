package openai

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/nethttp"
	api "sardineknot.example/sardineknot/internal/rpc/openai"
)

const (
	// maxResponseBytes bounds every response other than a stream.
	maxResponseBytes = 1 << 20
	// controlTimeout bounds requests that engines answer without delay: Cancel,
	// HeldRequests and Load.
	controlTimeout = time.Second
	// defaultProgressTimeout is used if NewClient is passed zero.
	defaultProgressTimeout = time.Second
	userSeparator          = "#"
)

// Client is a sardineknot.EngineClient. It is safe for concurrent use.
type Client struct {
	// progressTimeout is the time without an event after which a stream reports
	// a silence. It is positive.
	progressTimeout time.Duration
	transport       *nethttp.Transport
}

var _ sardineknot.EngineClient = (*Client)(nil)

// NewClient returns a client whose streams report a silence if no event arrives
// for the duration progress. Zero means one second. NewClient panics if progress
// is negative.
func NewClient(progress time.Duration) *Client {
	if progress < 0 {
		panic(&sardineknot.InvalidError{What: "progress", Got: progress.String(), Expected: "no negative duration"})
	}
	if progress == 0 {
		progress = defaultProgressTimeout
	}
	return &Client{progressTimeout: progress, transport: nethttp.NewTransport(&http.Transport{MaxIdleConnsPerHost: 32})}
}

// Prefill implements sardineknot.EngineClient. It has no timeout other than
// that of ctx.
func (c *Client) Prefill(ctx context.Context, server sardineknot.BackendServer, request sardineknot.EngineRequest) (sardineknot.KVCacheLocation, error) {
	q := completionRequest(server, request)
	q.MaxTokens = 1
	q.KvTransferParams = &api.KVTransferParams{DoRemoteDecode: true}
	p, err := c.post(ctx, server, "/v1/completions", q)
	if err != nil {
		return sardineknot.KVCacheLocation{}, err
	}
	defer p.Body.Close()
	var a api.CompletionResponse
	err = readMessage(p.Body, &a)
	if err != nil {
		return sardineknot.KVCacheLocation{}, c.wrapUnavailable(server, err)
	}
	return cacheFromParams(a.GetKvTransferParams()), nil
}

// Decode implements sardineknot.EngineClient. The stream ends when ctx is done.
// The time to the first token has no timeout other than that of ctx.
func (c *Client) Decode(ctx context.Context, server sardineknot.BackendServer, request sardineknot.EngineRequest, cache sardineknot.KVCacheLocation) (sardineknot.TokenStream, error) {
	q := completionRequest(server, request)
	q.Stream = true
	p, err := transferParams(cache)
	if err != nil {
		return nil, err
	}
	q.KvTransferParams = p
	return c.stream(ctx, server, len(request.PreviousTokens), false, func(ctx context.Context) (*http.Response, error) {
		return c.post(ctx, server, "/v1/completions", q)
	})
}

// Resume implements sardineknot.EngineClient. The stream ends when ctx is done.
func (c *Client) Resume(ctx context.Context, server sardineknot.BackendServer, request sardineknot.EngineRequest, offset int) (sardineknot.TokenStream, error) {
	v := url.Values{"request_id": {request.EngineRequestID()}, "user": {ownerUser(request)}}
	return c.stream(ctx, server, offset, true, func(ctx context.Context) (*http.Response, error) {
		h, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL(server)+"/v1/completions?"+v.Encode(), nil)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		h.Header.Set("Last-Event-ID", strconv.Itoa(offset-1))
		return c.do(server, h)
	})
}

// Cancel implements sardineknot.EngineClient.
func (c *Client) Cancel(ctx context.Context, server sardineknot.BackendServer, engineRequestID string) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	p, err := c.post(ctx, server, "/abort_requests", &api.CompletionRequest{RequestId: engineRequestID})
	if err != nil {
		return err
	}
	return errors.WithStack(p.Body.Close())
}

// HeldRequests implements sardineknot.EngineClient.
func (c *Client) HeldRequests(ctx context.Context, server sardineknot.BackendServer) ([]sardineknot.HeldRequest, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	b, err := c.get(ctx, server, "/v1/requests")
	if err != nil {
		return nil, err
	}
	var l []sardineknot.HeldRequest
	for t := range strings.Lines(string(b)) {
		var q api.CompletionRequest
		err = unmarshaler.Unmarshal([]byte(t), &q)
		if err != nil {
			return nil, c.wrapUnavailable(server, err)
		}
		l = append(l, heldRequest(&q))
	}
	return l, nil
}

// Load implements sardineknot.EngineClient.
func (c *Client) Load(ctx context.Context, server sardineknot.BackendServer) (sardineknot.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	b, err := c.get(ctx, server, "/load")
	if err != nil {
		return sardineknot.LoadReport{}, err
	}
	var a api.LoadResponse
	err = unmarshaler.Unmarshal(b, &a)
	if err != nil {
		return sardineknot.LoadReport{}, c.wrapUnavailable(server, err)
	}
	return sardineknot.LoadReport{Server: server.Name, Running: int(a.GetRunning()), Waiting: int(a.GetWaiting())}, nil
}

func (c *Client) get(ctx context.Context, server sardineknot.BackendServer, path string) ([]byte, error) {
	h, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL(server)+path, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p, err := c.do(server, h)
	if err != nil {
		return nil, err
	}
	defer p.Body.Close()
	b, err := io.ReadAll(io.LimitReader(p.Body, maxResponseBytes))
	if err != nil {
		return nil, c.wrapUnavailable(server, err)
	}
	return b, nil
}

func (c *Client) post(ctx context.Context, server sardineknot.BackendServer, path string, message proto.Message) (*http.Response, error) {
	b, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(server)+path, bytes.NewReader(b))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	h.Header.Set("Content-Type", "application/json")
	return c.do(server, h)
}

// do sends a request and returns the response if its status is 200. It fails
// with a RefusedError for any other status.
func (c *Client) do(server sardineknot.BackendServer, request *http.Request) (*http.Response, error) {
	p, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, c.wrapUnavailable(server, err)
	}
	if p.StatusCode != http.StatusOK {
		p.Body.Close()
		return nil, errors.WithStack(&sardineknot.RefusedError{Server: server.Name, Status: p.StatusCode})
	}
	return p, nil
}

// wrapUnavailable returns an UnavailableError with the cause err. It closes the
// idle connections, since they may be stalled as well.
func (c *Client) wrapUnavailable(server sardineknot.BackendServer, err error) error {
	c.transport.CloseIdleConnections()
	return errors.WithStack(&sardineknot.UnavailableError{Peer: string(server.Name), Cause: err})
}

var unmarshaler = protojson.UnmarshalOptions{DiscardUnknown: true}

// readMessage reads message from the JSON in reader.
func readMessage(reader io.Reader, message proto.Message) error {
	b, err := io.ReadAll(io.LimitReader(reader, maxResponseBytes))
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(unmarshaler.Unmarshal(b, message))
}

func baseURL(server sardineknot.BackendServer) string {
	return "http://" + server.Address.String()
}

// ownerUser returns the user field of request. It names the owner of the
// request in the form that heldRequest parses.
func ownerUser(request sardineknot.EngineRequest) string {
	return fmt.Sprintf("%s%s%d", request.Owner, userSeparator, request.OwnerIncarnation)
}
