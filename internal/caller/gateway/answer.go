package gateway

import (
	"net/http"

	"github.com/pkg/errors"
)

// answer is a sardineknot.AnswerWriter over an http.ResponseWriter.
type answer struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	started    bool
	status     int
}

// prepare keeps net/http from adding headers of its own.
func (a *answer) prepare(leaving bool) {
	h := a.writer.Header()
	h["Date"] = nil
	h["Content-Type"] = nil
	if leaving {
		h.Set("Connection", "close")
	}
}

// SendHeader implements sardineknot.AnswerWriter.
func (a *answer) SendHeader(status int, t http.Header) {
	h := a.writer.Header()
	for k, v := range t {
		h[k] = v
	}
	a.started, a.status = true, status
	a.writer.WriteHeader(status)
}

// Write implements sardineknot.AnswerWriter.
func (a *answer) Write(b []byte) error {
	_, err := a.writer.Write(b)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(a.controller.Flush())
}
