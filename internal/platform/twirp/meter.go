package twirp

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot/internal/peer/progress"
)

// meteredClient sends the requests of one call, counts the bytes of the bodies of its
// responses, and records their progress.
type meteredClient struct {
	client   *http.Client
	received atomic.Int64
}

// Do sends r.
func (c *meteredClient) Do(r *http.Request) (*http.Response, error) {
	p, err := progress.Client{Client: c.client}.Do(r)
	if err != nil {
		return nil, err
	}
	p.Body = &meteredBody{ReadCloser: p.Body, count: &c.received}
	return p, nil
}

// meteredBody counts the bytes that are read from a body.
type meteredBody struct {
	io.ReadCloser
	count *atomic.Int64
}

// Read implements io.Reader.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.count.Add(int64(n))
	return n, err
}

// meteredWriter counts the bytes of the body of a response.
type meteredWriter struct {
	http.ResponseWriter
	count metrics.Counter
}

// Write implements http.ResponseWriter.
func (w meteredWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.count.Inc(int64(n))
	return n, err
}

// meter returns handler with the bytes of its responses counted in count.
func meter(handler http.Handler, count metrics.Counter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(meteredWriter{ResponseWriter: w, count: count}, r)
	})
}
