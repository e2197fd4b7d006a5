package etcd

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/nethttp"
	api "sardineknot.example/sardineknot/internal/rpc/etcd"
)

const (
	defaultTimeout   = 2 * time.Second
	maxResponseBytes = 64 << 20
	peerName         = "key-value service"
)

// Client implements sardineknot.WatchableStore for the service at one address.
// It is safe for concurrent use.
type Client struct {
	// base is the URL of the service, without a trailing slash.
	base string
	// timeout bounds every call except Watch. It is positive.
	timeout   time.Duration
	transport *nethttp.Transport
}

var _ sardineknot.WatchableStore = (*Client)(nil)

// NewClient returns a client of the service at a. A zero timeout means two
// seconds. NewClient panics if a is invalid or timeout is negative.
func NewClient(a netip.AddrPort, timeout time.Duration) *Client {
	if !a.IsValid() || timeout < 0 {
		panic(&sardineknot.InvalidError{What: "address or timeout", Got: a.String(), Expected: "a valid address and no negative timeout"})
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return &Client{
		base:      "http://" + a.String(),
		timeout:   timeout,
		transport: nethttp.NewTransport(&http.Transport{MaxIdleConnsPerHost: 8}),
	}
}

// Get implements sardineknot.Store.
func (c *Client) Get(ctx context.Context, key string) (sardineknot.StoreEntry, error) {
	var r api.RangeResponse
	err := c.call(ctx, "/v3/kv/range", &api.RangeRequest{Key: []byte(key)}, &r)
	if err != nil {
		return sardineknot.StoreEntry{}, err
	}
	if len(r.GetKvs()) == 0 {
		return sardineknot.StoreEntry{Key: key}, nil
	}
	return entry(r.GetKvs()[0]), nil
}

// List implements sardineknot.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]sardineknot.StoreEntry, error) {
	return c.list(ctx, &api.RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)})
}

// Keys implements sardineknot.Store.
func (c *Client) Keys(ctx context.Context, prefix string) ([]sardineknot.StoreEntry, error) {
	return c.list(ctx, &api.RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), KeysOnly: true})
}

func (c *Client) list(ctx context.Context, q *api.RangeRequest) ([]sardineknot.StoreEntry, error) {
	var r api.RangeResponse
	err := c.call(ctx, "/v3/kv/range", q, &r)
	if err != nil {
		return nil, err
	}
	l := make([]sardineknot.StoreEntry, 0, len(r.GetKvs()))
	for _, v := range r.GetKvs() {
		l = append(l, entry(v))
	}
	return l, nil
}

// CompareAndSwap implements sardineknot.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected sardineknot.StoreRevision, value []byte, lease sardineknot.LeaseID) (sardineknot.StoreRevision, error) {
	if len(value) > sardineknot.MaxStoreValueBytes {
		return sardineknot.StoreRevision{}, errors.WithStack(&sardineknot.InvalidError{What: "value of " + key, Got: "too many bytes", Expected: "at most 1 MiB"})
	}
	p := &api.PutRequest{Key: []byte(key), Value: value, Lease: lease.Number}
	o := &api.RequestOp{Request: &api.RequestOp_RequestPut{RequestPut: p}}
	return c.swap(ctx, key, expected, o)
}

// Delete implements sardineknot.Store.
func (c *Client) Delete(ctx context.Context, key string, expected sardineknot.StoreRevision) error {
	d := &api.DeleteRangeRequest{Key: []byte(key)}
	o := &api.RequestOp{Request: &api.RequestOp_RequestDeleteRange{RequestDeleteRange: d}}
	_, err := c.swap(ctx, key, expected, o)
	return err
}

// GrantLease implements sardineknot.Store. The time to live is rounded up to
// whole seconds, the unit of the service.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (sardineknot.LeaseID, error) {
	s := int64((ttl + time.Second - 1) / time.Second)
	var r api.LeaseGrantResponse
	err := c.call(ctx, "/v3/lease/grant", &api.LeaseGrantRequest{TTL: s}, &r)
	return sardineknot.LeaseID{Number: r.GetID()}, err
}

// KeepAlive implements sardineknot.Store. It fails with an UnknownError if the
// lease has expired.
func (c *Client) KeepAlive(ctx context.Context, id sardineknot.LeaseID) error {
	var r api.LeaseKeepAliveResult
	err := c.call(ctx, "/v3/lease/keepalive", &api.LeaseKeepAliveRequest{ID: id.Number}, &r)
	if err != nil {
		return err
	}
	if r.GetResult().GetTTL() <= 0 {
		return errors.WithStack(&sardineknot.UnknownError{What: "Lease"})
	}
	return nil
}

// swap executes o if the revision of key equals expected, and returns the
// revision of the service afterwards. It fails with a ConflictError otherwise.
func (c *Client) swap(ctx context.Context, key string, expected sardineknot.StoreRevision, o *api.RequestOp) (sardineknot.StoreRevision, error) {
	q := &api.TxnRequest{
		Compare: []*api.Compare{{
			Key:         []byte(key),
			Target:      api.Compare_MOD,
			Result:      api.Compare_EQUAL,
			ModRevision: expected.Number,
		}},
		Success: []*api.RequestOp{o},
	}
	var r api.TxnResponse
	err := c.call(ctx, "/v3/kv/txn", q, &r)
	if err != nil {
		return sardineknot.StoreRevision{}, err
	}
	if !r.GetSucceeded() {
		return sardineknot.StoreRevision{}, errors.WithStack(&sardineknot.ConflictError{Key: key, Expected: expected})
	}
	return sardineknot.StoreRevision{Number: r.GetHeader().GetRevision()}, nil
}

// call posts q to path and decodes the response into r. All failures are
// UnavailableErrors.
func (c *Client) call(ctx context.Context, path string, q, r proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	p, err := c.post(ctx, path, q)
	if err != nil {
		return c.wrapUnavailable(err)
	}
	defer p.Body.Close()
	b, err := io.ReadAll(io.LimitReader(p.Body, maxResponseBytes))
	if err != nil {
		return c.wrapUnavailable(err)
	}
	err = unmarshaler.Unmarshal(b, r)
	if err != nil {
		return c.wrapUnavailable(err)
	}
	return nil
}

// post sends q and returns the response if its status is 200. The caller must
// close the response body.
func (c *Client) post(ctx context.Context, path string, q proto.Message) (*http.Response, error) {
	b, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(q)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(b))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	h.Header.Set("Content-Type", "application/json")
	p, err := c.transport.RoundTrip(h)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if p.StatusCode != http.StatusOK {
		p.Body.Close()
		return nil, errors.Errorf("unexpected status %d from %s", p.StatusCode, path)
	}
	return p, nil
}

// wrapUnavailable returns an UnavailableError with the cause err. It closes the
// idle connections, which may no longer respond.
func (c *Client) wrapUnavailable(err error) error {
	c.transport.CloseIdleConnections()
	return errors.WithStack(&sardineknot.UnavailableError{Peer: peerName, Cause: err})
}

var unmarshaler = protojson.UnmarshalOptions{DiscardUnknown: true}

// entry converts v to a StoreEntry whose revision is the mod_revision of v.
func entry(v *api.KeyValue) sardineknot.StoreEntry {
	return sardineknot.StoreEntry{
		Key:      string(v.GetKey()),
		Value:    v.GetValue(),
		Revision: sardineknot.StoreRevision{Number: v.GetModRevision()},
	}
}

// prefixEnd returns the first key after all keys that start with prefix. If
// there is none, because prefix is empty or consists of 0xff bytes only, it
// returns a single zero byte, which etcd defines as the end of the key space.
func prefixEnd(prefix string) []byte {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return b[:i+1]
		}
	}
	return []byte{0}
}
