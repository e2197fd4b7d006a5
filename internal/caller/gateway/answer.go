package gateway

import (
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// answerWriter implements sardineknot.AnswerWriter on an http.ResponseWriter.
type answerWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	// leaving reports whether the connection is closed after the answer.
	leaving *atomic.Bool
	// started reports whether the header has been sent. status is the status
	// code that was sent with it, or zero.
	started bool
	status  int
}

// prepare keeps net/http from adding the header fields Date and Content-Type.
func (a *answerWriter) prepare() {
	h := a.writer.Header()
	h["Date"] = nil
	h["Content-Type"] = nil
}

// SendHeader implements sardineknot.AnswerWriter.
func (a *answerWriter) SendHeader(status int, header http.Header) {
	h := a.writer.Header()
	for k, v := range header {
		h[k] = v
	}
	if a.leaving.Load() {
		h.Set("Connection", "close")
	}
	a.started, a.status = true, status
	a.writer.WriteHeader(status)
}

// Write implements sardineknot.AnswerWriter.
func (a *answerWriter) Write(data []byte) error {
	_, err := a.writer.Write(data)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(a.controller.Flush())
}
