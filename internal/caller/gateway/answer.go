package gateway

import (
	"net/http"

	"github.com/pkg/errors"
)

// answerWriter implements sardineknot.AnswerWriter on an http.ResponseWriter.
type answerWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	// started reports whether the header has been sent. status is the status
	// code that was sent with it, or zero.
	started bool
	status  int
}

// prepare keeps net/http from adding the header fields Date and Content-Type.
// If leaving is set, the connection is closed after the answer.
func (a *answerWriter) prepare(leaving bool) {
	h := a.writer.Header()
	h["Date"] = nil
	h["Content-Type"] = nil
	if leaving {
		h.Set("Connection", "close")
	}
}

// SendHeader implements sardineknot.AnswerWriter.
func (a *answerWriter) SendHeader(status int, header http.Header) {
	h := a.writer.Header()
	for k, v := range header {
		h[k] = v
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
