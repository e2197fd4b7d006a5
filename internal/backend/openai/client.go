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
	api "sardineknot.example/sardineknot/internal/rpc/openai"
)

const (
	// maxResponseBytes bounds every answer but a stream.
	maxResponseBytes = 1 << 20
	// orderTimeout bounds calls that engines answer at once.
	orderTimeout = time.Second
	// defaultProgress is the default of NewClient.
	defaultProgress = time.Second
	userSeparator   = "#"
)

// Client is a sardineknot.Engine. It is safe for concurrent use.
type Client struct {
	// progress is the longest silence within a stream. It is positive.
	progress  time.Duration
	transport *http.Transport
}

var _ sardineknot.Engine = (*Client)(nil)

// NewClient returns a client that gives up on a stream after progress without
// a token. Zero means one second. It panics if progress is negative.
func NewClient(progress time.Duration) *Client {
	if progress < 0 {
		panic(&sardineknot.InvalidError{What: "progress", Got: progress.String(), Expected: "no negative duration"})
	}
	if progress == 0 {
		progress = defaultProgress
	}
	return &Client{progress: progress, transport: &http.Transport{MaxIdleConnsPerHost: 32}}
}

// Prefill implements sardineknot.Engine. The caller bounds it through ctx.
func (c *Client) Prefill(ctx context.Context, s sardineknot.BackendServer, r sardineknot.EngineRequest) (sardineknot.KVCache, error) {
	q := completion(s, r)
	q.MaxTokens = 1
	q.KvTransferParams = &api.KVTransferParams{DoRemoteDecode: true}
	p, err := c.post(ctx, s, "/v1/completions", q)
	if err != nil {
		return sardineknot.KVCache{}, err
	}
	defer p.Body.Close()
	var a api.CompletionResponse
	err = readMessage(p.Body, &a)
	if err != nil {
		return sardineknot.KVCache{}, c.unavailable(s, err)
	}
	return cache(a.GetKvTransferParams()), nil
}

// Decode implements sardineknot.Engine. The stream ends when ctx is done. The
// caller bounds the time to the first token through ctx.
func (c *Client) Decode(ctx context.Context, s sardineknot.BackendServer, r sardineknot.EngineRequest, k sardineknot.KVCache) (sardineknot.TokenStream, error) {
	q := completion(s, r)
	q.Stream = true
	p, err := transferParams(k)
	if err != nil {
		return nil, err
	}
	q.KvTransferParams = p
	return c.stream(ctx, s, len(r.Prior), false, func(ctx context.Context) (*http.Response, error) {
		return c.post(ctx, s, "/v1/completions", q)
	})
}

// Resume implements sardineknot.Engine. The stream ends when ctx is done.
func (c *Client) Resume(ctx context.Context, s sardineknot.BackendServer, r sardineknot.EngineRequest, offset int) (sardineknot.TokenStream, error) {
	v := url.Values{"request_id": {r.EngineKey()}, "user": {user(r)}}
	return c.stream(ctx, s, offset, true, func(ctx context.Context) (*http.Response, error) {
		h, err := http.NewRequestWithContext(ctx, http.MethodGet, base(s)+"/v1/completions?"+v.Encode(), nil)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		h.Header.Set("Last-Event-ID", strconv.Itoa(offset-1))
		return c.do(s, h)
	})
}

// Cancel implements sardineknot.Engine.
func (c *Client) Cancel(ctx context.Context, s sardineknot.BackendServer, engineKey string) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	p, err := c.post(ctx, s, "/abort_requests", &api.CompletionRequest{RequestId: engineKey})
	if err != nil {
		return err
	}
	return errors.WithStack(p.Body.Close())
}

// Held implements sardineknot.Engine.
func (c *Client) Held(ctx context.Context, s sardineknot.BackendServer) ([]sardineknot.HeldRequest, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	b, err := c.get(ctx, s, "/v1/requests")
	if err != nil {
		return nil, err
	}
	var l []sardineknot.HeldRequest
	for t := range strings.Lines(string(b)) {
		var q api.CompletionRequest
		err = unmarshaler.Unmarshal([]byte(t), &q)
		if err != nil {
			return nil, c.unavailable(s, err)
		}
		l = append(l, held(&q))
	}
	return l, nil
}

// Load implements sardineknot.Engine.
func (c *Client) Load(ctx context.Context, s sardineknot.BackendServer) (sardineknot.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	b, err := c.get(ctx, s, "/load")
	if err != nil {
		return sardineknot.LoadReport{}, err
	}
	var a api.LoadResponse
	err = unmarshaler.Unmarshal(b, &a)
	if err != nil {
		return sardineknot.LoadReport{}, c.unavailable(s, err)
	}
	return sardineknot.LoadReport{Server: s.Name, Running: int(a.GetRunning()), Waiting: int(a.GetWaiting())}, nil
}

func (c *Client) get(ctx context.Context, s sardineknot.BackendServer, path string) ([]byte, error) {
	h, err := http.NewRequestWithContext(ctx, http.MethodGet, base(s)+path, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p, err := c.do(s, h)
	if err != nil {
		return nil, err
	}
	defer p.Body.Close()
	b, err := io.ReadAll(io.LimitReader(p.Body, maxResponseBytes))
	if err != nil {
		return nil, c.unavailable(s, err)
	}
	return b, nil
}

func (c *Client) post(ctx context.Context, s sardineknot.BackendServer, path string, q proto.Message) (*http.Response, error) {
	b, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(q)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, base(s)+path, bytes.NewReader(b))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	h.Header.Set("Content-Type", "application/json")
	return c.do(s, h)
}

// do returns an answer with status 200, or a RefusedError with its status.
func (c *Client) do(s sardineknot.BackendServer, h *http.Request) (*http.Response, error) {
	p, err := c.transport.RoundTrip(h)
	if err != nil {
		return nil, c.unavailable(s, err)
	}
	if p.StatusCode != http.StatusOK {
		p.Body.Close()
		return nil, errors.WithStack(&sardineknot.RefusedError{Server: s.Name, Status: p.StatusCode})
	}
	return p, nil
}

// unavailable wraps err and drops idle connections, which may be silent.
func (c *Client) unavailable(s sardineknot.BackendServer, err error) error {
	c.transport.CloseIdleConnections()
	return errors.WithStack(&sardineknot.UnavailableError{Peer: string(s.Name), Cause: err})
}

var unmarshaler = protojson.UnmarshalOptions{DiscardUnknown: true}

func readMessage(r io.Reader, m proto.Message) error {
	b, err := io.ReadAll(io.LimitReader(r, maxResponseBytes))
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(unmarshaler.Unmarshal(b, m))
}

func base(s sardineknot.BackendServer) string {
	return "http://" + s.Address.String()
}

// user names the holder of r in the form that owner parses.
func user(r sardineknot.EngineRequest) string {
	return fmt.Sprintf("%s%s%d", r.Owner, userSeparator, r.OwnerIncarnation)
}
