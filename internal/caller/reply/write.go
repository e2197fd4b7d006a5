// Package reply writes the errors of the system to callers, in the form of
// the OpenAI interface.
//
// The field type tells what happened to the request: "not_run", "failed",
// "outcome_unknown", "interrupted", "displaced", "lost", "invalid" or
// "unknown". A caller may ask
// again after the time in the header Retry-After, if there is one.
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

// body is the body of an answer that is an error.
type body struct {
	Error detail `json:"error"`
}

type detail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	Param   string `json:"param,omitempty"`
}

// outcome is how an error is told to a caller.
type outcome struct {
	status     int
	detail     detail
	retryAfter time.Duration
}

// Error writes err as an HTTP answer of its own.
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

// JSON returns the body that tells of err, on one line.
func JSON(err error) []byte {
	b, e := json.Marshal(body{Error: classify(err).detail})
	if e != nil {
		panic(e)
	}
	return b
}

func classify(err error) outcome {
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
		return outcome{http.StatusServiceUnavailable, detail{Type: "not_run", Message: n.Error()}, n.RetryAfter}
	case errors.As(err, &f):
		return outcome{http.StatusBadGateway, detail{Type: "failed", Message: f.Error()}, f.RetryAfter}
	case errors.As(err, &u):
		return outcome{status: http.StatusConflict, detail: detail{Type: "outcome_unknown", Message: u.Error()}}
	case errors.As(err, &i):
		return outcome{status: http.StatusBadGateway, detail: detail{Type: "interrupted", Message: i.Error()}}
	case errors.As(err, &v):
		return outcome{status: http.StatusBadRequest, detail: detail{Type: "invalid", Message: v.Error(), Param: v.What}}
	case errors.As(err, &k):
		return outcome{status: http.StatusNotFound, detail: detail{Type: "unknown", Message: k.Error(), Param: k.What}}
	case errors.As(err, &m):
		return outcome{status: http.StatusUnprocessableEntity, detail: detail{Type: "invalid", Message: m.Error()}}
	case errors.As(err, &d):
		return outcome{status: http.StatusConflict, detail: detail{Type: "displaced", Message: d.Error()}}
	case errors.As(err, &l):
		return outcome{status: http.StatusGone, detail: detail{Type: "lost", Message: l.Error()}}
	default:
		return outcome{status: http.StatusInternalServerError, detail: detail{Type: "failed", Message: err.Error()}}
	}
}
