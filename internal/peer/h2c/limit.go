package h2c

import (
	"errors"
	"io"
	"net/http"
	"slices"

	"sardineknot.example/sardineknot"
)

const (
	// maxMessageBytes bounds the body of a request to a peer and of its response, unless
	// it is a stream. The calls read bodies as a whole.
	maxMessageBytes = 16 << 20
	// maxHeaderBytes bounds the header of a response of a peer, and of a request.
	maxHeaderBytes = 64 << 10
)

// limitedTransport limits the bodies of responses to maxMessageBytes.
type limitedTransport struct {
	http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	p, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	p.Body = limitedBody{ReadCloser: http.MaxBytesReader(nil, p.Body, maxMessageBytes), peer: r.URL.Host}
	return p, nil
}

// limitedBody is the body of a response. Reads beyond its limit fail with an
// UnavailableError.
type limitedBody struct {
	io.ReadCloser
	peer string
}

// Read implements io.Reader.
func (b limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	var m *http.MaxBytesError
	if errors.As(err, &m) {
		return n, &sardineknot.UnavailableError{Peer: b.peer, Cause: m}
	}
	return n, err
}

// limitRequests limits the bodies of requests to maxMessageBytes, but for those to
// streamPaths.
func limitRequests(handler http.Handler, streamPaths []string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !slices.Contains(streamPaths, r.URL.Path) {
			r.Body = http.MaxBytesReader(w, r.Body, maxMessageBytes)
		}
		handler.ServeHTTP(w, r)
	})
}
