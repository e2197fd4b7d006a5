// Package reply writes errors to callers in the format of the OpenAI API.
//
// The member "type" of the JSON body has one of these values:
//   - "not_run": the request did not run and will not run later.
//   - "failed": a repeatable request failed after it may have run in part, or
//     an unexpected error occurred.
//   - "outcome_unknown": an unrepeatable request may have run.
//   - "interrupted": the answer broke off; the caller may request the rest.
//   - "displaced": another connection has taken over the delivery of the answer.
//   - "lost": the answer cannot be continued, because its earlier part was lost.
//   - "invalid": the request has an invalid value, which "param" names, or its
//     identifier was used before for a request with different content.
//   - "unknown": a name was not found, such as that of a route or a client
//     account; "param" is the kind of object.
//
// If the header field Retry-After is set, the caller may retry after that time.
package reply

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// body is the response body of an error.
type body struct {
	Error detail `json:"error"`
}

// detail describes the error in a body.
type detail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	Param   string `json:"param,omitempty"`
}

// response holds the parts of the response to a request that failed. A zero
// retryAfter omits the header field Retry-After.
type response struct {
	status     int
	detail     detail
	retryAfter time.Duration
}

// Error writes err as a complete HTTP response.
func Error(w http.ResponseWriter, err error) {
	o := classify(err)
	w.Header().Set("Content-Type", "application/json")
	if o.retryAfter > 0 {
		s := int(math.Ceil(o.retryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(s))
	}
	w.WriteHeader(o.status)
	_, _ = w.Write(JSON(err))
}

// JSON returns the response body for err, on one line.
func JSON(err error) []byte {
	b, e := json.Marshal(body{Error: classify(err).detail})
	if e != nil {
		panic(e)
	}
	return b
}

// classify returns the response for err.
func classify(err error) response {
	var n *sardineknot.NotRunError
	var f *sardineknot.RequestFailedError
	var u *sardineknot.OutcomeUnknownError
	var i *sardineknot.InterruptedError
	var v *sardineknot.InvalidError
	var k *sardineknot.UnknownError
	var m *sardineknot.ContentMismatchError
	var d *sardineknot.DeliveryTakenOverError
	var l *sardineknot.AnswerLostError
	switch {
	case errors.As(err, &n):
		return response{http.StatusServiceUnavailable, detail{Type: "not_run", Message: n.Error()}, n.RetryAfter}
	case errors.As(err, &f):
		return response{http.StatusBadGateway, detail{Type: "failed", Message: f.Error()}, f.RetryAfter}
	case errors.As(err, &u):
		return response{status: http.StatusConflict, detail: detail{Type: "outcome_unknown", Message: u.Error()}}
	case errors.As(err, &i):
		return response{status: http.StatusBadGateway, detail: detail{Type: "interrupted", Message: i.Error()}}
	case errors.As(err, &v):
		return response{status: http.StatusBadRequest, detail: detail{Type: "invalid", Message: v.Error(), Param: v.What}}
	case errors.As(err, &k):
		return response{status: http.StatusNotFound, detail: detail{Type: "unknown", Message: k.Error(), Param: k.What}}
	case errors.As(err, &m):
		return response{status: http.StatusUnprocessableEntity, detail: detail{Type: "invalid", Message: m.Error()}}
	case errors.As(err, &d):
		return response{status: http.StatusConflict, detail: detail{Type: "displaced", Message: d.Error()}}
	case errors.As(err, &l):
		return response{status: http.StatusGone, detail: detail{Type: "lost", Message: l.Error()}}
	default:
		return response{status: http.StatusInternalServerError, detail: detail{Type: "failed", Message: err.Error()}}
	}
}
