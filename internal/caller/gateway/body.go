package gateway

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// defaultBodyBytes is the maximum size of a request body if the
	// configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// memoryRetryAfter is the Retry-After time of calls for whose bodies there is no memory.
	memoryRetryAfter = 500 * time.Millisecond
	// chunkBytes is the number of bytes that are read at a time of a body of unknown length,
	// and bufferGrowth the factor by which the buffer may be larger than the body.
	chunkBytes   = 32 << 10
	bufferGrowth = 2
)

// readBody returns the complete body of r. It fails with an http.MaxBytesError
// if the body is longer than limit, and with a NotRunError if there is no memory for it, which
// held counts. If limit is not positive, defaultBodyBytes applies.
func (h *Handler) readBody(r *http.Request, limit int64, held *int64) ([]byte, error) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, errors.WithStack(&http.MaxBytesError{Limit: limit})
	}
	if r.ContentLength >= 0 {
		return h.readLength(r, held)
	}
	return h.readChunks(http.MaxBytesReader(nil, r.Body, limit), held)
}

// readLength returns the body of r, whose length is known.
func (h *Handler) readLength(r *http.Request, held *int64) ([]byte, error) {
	err := h.growMemory(held, int(r.ContentLength))
	if err != nil {
		return nil, err
	}
	b := make([]byte, r.ContentLength)
	_, err = io.ReadFull(r.Body, b)
	return b, errors.WithStack(err)
}

// readChunks returns all bytes of body, whose length is not known.
func (h *Handler) readChunks(body io.Reader, held *int64) ([]byte, error) {
	var b bytes.Buffer
	for {
		err := h.growMemory(held, bufferGrowth*(b.Len()+chunkBytes))
		if err != nil {
			return nil, err
		}
		_, err = io.CopyN(&b, body, chunkBytes)
		if errors.Is(err, io.EOF) {
			return b.Bytes(), nil
		}
		if err != nil {
			return nil, errors.WithStack(err)
		}
	}
}

// growMemory makes held large enough for a body of the given length, or fails with a
// NotRunError if there is no memory for it.
func (h *Handler) growMemory(held *int64, length int) error {
	if h.Memory == nil || h.Memory.Grow(held, length) {
		return nil
	}
	return errors.WithStack(&sardineknot.NotRunError{Reason: "no memory for the body", RetryAfter: memoryRetryAfter})
}
