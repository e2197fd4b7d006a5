package gateway

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/stopping"
)

// writeTimeout is the longest time for which a caller may take no bytes, or hardly any,
// before its call ends. The deadline of the call does not end a write, and an answer that
// is ready is delivered after it.
const writeTimeout = 10 * time.Second

// answerWriter implements sardineknot.AnswerWriter on an http.ResponseWriter.
type answerWriter struct {
	writer     http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	// stop is the schedule of the host's stop. The connections of a host that is stopping are
	// closed after their answers.
	stop *stopping.Schedule
	// clock returns the current time.
	clock sardineknot.Clock
	// started reports whether the header has been sent. status is the status
	// code that was sent with it, or zero.
	started bool
	status  int
	// onHeader is called before the header is sent, unless it is nil.
	onHeader func()
	// unfinished ends an answer that the end of its connection would complete.
	unfinished unfinished
}

// abort resets the connection of an answer that has begun, if the end of the connection is
// the end of the answer: it would look complete. It does not return.
func (a *answerWriter) abort() {
	if !a.request.ProtoAtLeast(1, 1) {
		c, _, err := a.controller.Hijack()
		if err == nil {
			reset(c)
		}
	}
	// net/http closes other connections before the end of the answer.
	panic(http.ErrAbortHandler)
}

// prepare keeps net/http from adding the header fields Date and Content-Type.
func (a *answerWriter) prepare() {
	h := a.writer.Header()
	h["Date"] = nil
	h["Content-Type"] = nil
}

// limitBody sets the time at which reading the body of the request fails. The zero time
// means never.
func (a *answerWriter) limitBody(deadline time.Time) {
	// It fails only for connections that are closed already, and for test recorders.
	_ = a.controller.SetReadDeadline(deadline)
}

// SendHeader implements sardineknot.AnswerWriter.
func (a *answerWriter) SendHeader(status int, header http.Header) {
	if a.onHeader != nil {
		a.onHeader()
	}
	h := a.writer.Header()
	for k, v := range header {
		h[k] = v
	}
	if _, ok := a.stop.EndsAt(); ok {
		h.Set("Connection", "close")
	}
	a.started, a.status = true, status
	a.unfinished.begin(a.request, h)
	a.writer.WriteHeader(status)
}

// Write implements sardineknot.AnswerWriter. It fails if the caller does not take data
// within writeTimeout.
func (a *answerWriter) Write(data []byte) error {
	// net/http removes the deadline at the end of the request. It fails as in limitBody.
	_ = a.controller.SetWriteDeadline(a.clock.Now().Add(writeTimeout))
	_, err := a.writer.Write(data)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(a.controller.Flush())
}
