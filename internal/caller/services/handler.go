// Package services serves calls of plain services to callers.
//
// Calls with the same request identifier get the same answer while the first
// one runs, and for a while after it if the call is unrepeatable.
package services

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/service"
	"sardineknot.example/sardineknot/internal/caller/delivery"
	"sardineknot.example/sardineknot/internal/caller/header"
	"sardineknot.example/sardineknot/internal/caller/reply"
)

// MaxRequestBytes bounds the body of a call, in bytes.
const MaxRequestBytes = 1 << 20

// Handler is an http.Handler for POST /v1/services. All exported fields are
// set before use.
type Handler struct {
	// Configuration gives the contracts.
	Configuration sardineknot.ConfigurationSource
	// Runner produces answers.
	Runner *service.Runner
	// Clock gives the time.
	Clock sardineknot.Clock
	// Outcomes takes the outcome of every call. Nil discards them.
	Outcomes sardineknot.OutcomeRecorder
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := h.read(w, r)
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
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func (h *Handler) read(w http.ResponseWriter, r *http.Request) (sardineknot.ServiceCall, error) {
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
