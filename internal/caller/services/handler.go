// Package services serves the calls that callers make to plain services, which
// are HTTP services that are not engines.
//
// Calls with the same request identifier share one answer while the first of
// them runs. The answer to an unrepeatable call is also kept after the call has
// ended, for the time in the setting AnswerRetention.
package services

import (
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/service"
	"sardineknot.example/sardineknot/internal/caller/delivery"
	"sardineknot.example/sardineknot/internal/caller/header"
	"sardineknot.example/sardineknot/internal/caller/reply"
)

// MaxRequestBytes is the maximum size of a request body, in bytes.
const MaxRequestBytes = 1 << 20

// Handler is an http.Handler for POST /v1/services. All fields except Outcomes
// must be set before use.
type Handler struct {
	// Configuration provides the contracts.
	Configuration sardineknot.ConfigurationSource
	// Runner runs the calls.
	Runner *service.Runner
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Outcomes records the outcome of every call. If it is nil, outcomes are
	// discarded.
	Outcomes sardineknot.OutcomeRecorder
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := h.readCall(w, r)
	if err != nil {
		reply.Error(w, err)
		return
	}
	m := delivery.NewDelivery(h.Clock, h.Outcomes, c.Key.Account, c.Work)
	defer func() { m.End(err) }()
	a, err := h.Runner.Run(r.Context(), c)
	if err != nil {
		reply.Error(w, err)
		return
	}
	m.Token()
	w.Header().Set("Content-Type", a.ContentType)
	if len(a.Body) > 0 {
		// Without a length, the answer to a caller of HTTP/1.0 would end with its
		// connection, and a part of it would look complete.
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// readCall decodes and validates r. It fails with an InvalidError or an
// UnknownError.
func (h *Handler) readCall(w http.ResponseWriter, r *http.Request) (sardineknot.ServiceCall, error) {
	v, err := header.Read(r, h.Configuration.Current(), h.Clock.Now())
	if err != nil {
		return sardineknot.ServiceCall{}, err
	}
	if v.Work.Kind != sardineknot.WorkService {
		return sardineknot.ServiceCall{}, errors.WithStack(&sardineknot.InvalidError{What: "X-Work", Got: string(v.Work.Name), Expected: "a plain service"})
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequestBytes))
	if err != nil {
		return sardineknot.ServiceCall{}, errors.WithStack(&sardineknot.InvalidError{What: "body", Got: err.Error(), Expected: "at most 1 MiB"})
	}
	return sardineknot.ServiceCall{
		Key:         v.Key,
		Work:        v.Work,
		Body:        b,
		ContentType: r.Header.Get("Content-Type"),
		Deadline:    v.Deadline,
	}, nil
}
