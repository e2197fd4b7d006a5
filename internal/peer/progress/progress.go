// Package progress bounds the time of calls to peers by their progress.
//
// A limit on the whole time of a call ends a long response on a slow link again and again,
// and discards what has arrived. With the limits of this package a call goes on as long as
// its response arrives, and ends soon if the peer is silent.
package progress

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// minBytes is the number of bytes of a response that count as progress. A peer that sends a
// byte now and then makes none.
const minBytes = 8 << 10

// deadline is the time at which a context is done unless there is progress.
type deadline struct {
	// outer is the deadline of the parent of the context, or nil.
	outer *deadline
	step  time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// received is the number of bytes that have arrived since the last progress.
	received int
}

// deadlineKey is the key of the deadline of a context.
type deadlineKey struct{}

// timeoutError is the cause of the end of a context without progress.
type timeoutError struct{}

// Error implements error.
func (e *timeoutError) Error() string { return "the response makes no progress" }

// Timeout reports that the error is a timeout.
func (e *timeoutError) Timeout() bool { return true }

// WithTimeout returns a context that is done with parent, when first has passed before the
// response begins, or when step has passed without progress of the response. The functions
// Begin and NewReader record the progress. Calling cancel releases the context.
func WithTimeout(parent context.Context, first, step time.Duration) (ctx context.Context, cancel context.CancelFunc) {
	ctx, stop := context.WithCancelCause(parent)
	d := &deadline{outer: deadlineOf(parent), step: step}
	d.timer = time.AfterFunc(first, func() { stop(&timeoutError{}) })
	return context.WithValue(ctx, deadlineKey{}, d), func() {
		d.timer.Stop()
		stop(nil)
	}
}

// deadlineOf returns the deadline of ctx, or nil if there is none.
func deadlineOf(ctx context.Context) *deadline {
	d, _ := ctx.Value(deadlineKey{}).(*deadline)
	return d
}

// Begin records that the response of a call with ctx begins.
func Begin(ctx context.Context) {
	for d := deadlineOf(ctx); d != nil; d = d.outer {
		d.extend()
	}
}

// extend puts off the end of the context.
func (d *deadline) extend() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.received = 0
	if d.timer.Stop() { // not done yet
		d.timer.Reset(d.step)
	}
}

// receive records that n bytes have arrived.
func (d *deadline) receive(n int) {
	d.mu.Lock()
	d.received += n
	r := d.received
	d.mu.Unlock()
	if r >= minBytes {
		d.extend()
	}
}

// NewReader returns a reader of r, a response of a call with ctx, that records the progress.
func NewReader(ctx context.Context, r io.Reader) io.Reader { return &reader{Reader: r, ctx: ctx} }

// Client sends requests with Client and records the progress of their responses.
type Client struct {
	Client *http.Client
}

// Do sends r.
func (c Client) Do(r *http.Request) (*http.Response, error) {
	p, err := c.Client.Do(r)
	if err != nil {
		return nil, err
	}
	Begin(r.Context())
	p.Body = &body{Reader: NewReader(r.Context(), p.Body), Closer: p.Body}
	return p, nil
}

// body is the body of a response.
type body struct {
	io.Reader
	io.Closer
}

// reader is a reader of a response.
type reader struct {
	io.Reader
	ctx context.Context
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	for d := deadlineOf(r.ctx); d != nil; d = d.outer {
		d.receive(n)
	}
	return n, err
}
