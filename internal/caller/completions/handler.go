// Package completions serves generations to callers as streamed completions in
// the format of the OpenAI API.
//
// The event identifier of a token is its index. The stream of a complete answer
// ends with a chunk that contains a finish_reason and the number of tokens,
// followed by the data [DONE]; any other end means that the answer is
// incomplete. A caller that repeats the request with the same request
// identifier and the header field Last-Event-ID receives only the tokens after
// that event.
package completions

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/buffer"
	"sardineknot.example/sardineknot/internal/answer/generation"
	"sardineknot.example/sardineknot/internal/answer/h2c"
	"sardineknot.example/sardineknot/internal/answer/registry"
	"sardineknot.example/sardineknot/internal/caller/delivery"
	"sardineknot.example/sardineknot/internal/caller/header"
	"sardineknot.example/sardineknot/internal/caller/reply"
	api "sardineknot.example/sardineknot/internal/rpc/openai"
)

// MaxRequestBytes is the maximum size of a request body, in bytes.
const MaxRequestBytes = 4 << 20

const (
	// progressTimeout limits the time without a new token while the host that
	// produces the answer is unavailable. After that time, the answer is
	// reported as interrupted.
	progressTimeout = 10 * time.Second
	// retryDelay is the delay before the answer is opened again after an
	// UnavailableError.
	retryDelay = 20 * time.Millisecond
)

// Handler is an http.Handler for POST /v1/completions. All fields except
// Outcomes must be set before use.
type Handler struct {
	// Configuration provides the contracts.
	Configuration sardineknot.ConfigurationSource
	// Answers holds the answers that this host produces.
	Answers *registry.Registry
	// Runner produces answers.
	Runner *generation.Runner
	// Relay reads the answers that other entry hosts produce.
	Relay *h2c.Relay
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Outcomes records the outcome of every delivery. If it is nil, outcomes
	// are discarded.
	Outcomes sardineknot.OutcomeRecorder
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, o, err := h.readRequest(w, r)
	if err != nil {
		reply.Error(w, err)
		return
	}
	m := delivery.NewDelivery(h.Clock, h.Outcomes, q.Key.Account, q.Work)
	m.End(h.writeAnswer(r.Context(), q, &answerWriter{w: w, offset: o, next: o, delivery: m}))
}

// writeAnswer writes the answer to request to w. The answer is produced by this
// host or relayed from the host that produces it. If that host becomes
// unavailable, writeAnswer continues with the host that takes over. It returns
// io.EOF after the end of a complete answer, and otherwise the error that ended
// the delivery.
func (h *Handler) writeAnswer(ctx context.Context, request sardineknot.Request, w *answerWriter) error {
	f := fingerprint(request)
	p := h.Clock.Now()
	for {
		n := w.next
		err := h.writeLocal(ctx, request, f, w)
		var e *sardineknot.ProducedElsewhereError
		if errors.As(err, &e) {
			err = h.writeRelayed(ctx, e.Record, f, w)
		}
		var u *sardineknot.UnavailableError
		if !errors.As(err, &u) {
			return w.finish(err)
		}
		if w.next > n {
			p = h.Clock.Now()
		}
		if h.Clock.Now().Sub(p) > progressTimeout {
			return w.finish(&sardineknot.InterruptedError{Offset: w.next, Reason: err.Error()})
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return w.finish(errors.WithStack(ctx.Err()))
		}
	}
}

// writeLocal writes the answer to request that this host produces, and starts
// to produce it if necessary. It fails with a ProducedElsewhereError if another
// host produces the answer.
func (h *Handler) writeLocal(ctx context.Context, request sardineknot.Request, fingerprint uint64, w *answerWriter) error {
	o := w.next
	b, err := h.Answers.Open(request.Key, fingerprint, func(ctx context.Context, b *buffer.Buffer) {
		h.Runner.Run(ctx, request, b, o)
	})
	if err != nil {
		return err
	}
	d := b.Attach()
	defer b.Detach(d)
	return w.copyTokens(func() (sardineknot.Token, error) { return b.Next(ctx, d, w.next) })
}

// writeRelayed writes the answer that the entry host named in record produces.
func (h *Handler) writeRelayed(ctx context.Context, record sardineknot.AnswerRecord, fingerprint uint64, w *answerWriter) error {
	s, err := h.Relay.Open(ctx, record, fingerprint, w.next)
	if err != nil {
		return err
	}
	defer s.Close()
	return w.copyTokens(s.Next)
}

// readRequest decodes and validates r. It returns the request and the index of
// the first token to deliver. It fails with an InvalidError or an UnknownError.
func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request) (request sardineknot.Request, offset int, err error) {
	v, err := header.Read(r, h.Configuration.Current(), h.Clock.Now())
	if err != nil {
		return request, 0, err
	}
	if v.Work.Kind != sardineknot.WorkGeneration {
		return request, 0, errors.WithStack(&sardineknot.InvalidError{What: "X-Work", Got: string(v.Work.Name), Expected: "a generation"})
	}
	var c api.CompletionRequest
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequestBytes))
	if err == nil {
		err = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(b, &c)
	}
	if err != nil {
		return request, 0, errors.WithStack(&sardineknot.InvalidError{What: "body", Got: err.Error(), Expected: "a JSON object of at most 4 MiB"})
	}
	if c.GetPrompt() == "" {
		return request, 0, errors.WithStack(&sardineknot.InvalidError{What: "prompt", Expected: "a text that is not empty"})
	}
	n := int(c.GetMaxTokens())
	if n == 0 {
		n = v.Work.MaxTokens
	}
	if n < 0 || n > v.Work.MaxTokens {
		return request, 0, errors.WithStack(&sardineknot.InvalidError{What: "max_tokens", Got: fmt.Sprint(n), Expected: fmt.Sprintf("1 to %d", v.Work.MaxTokens)})
	}
	if v.Offset > n {
		return request, 0, errors.WithStack(&sardineknot.InvalidError{What: "Last-Event-ID", Got: fmt.Sprint(v.Offset - 1), Expected: fmt.Sprintf("at most %d, the last token of the answer", n-1)})
	}
	request = sardineknot.Request{Key: v.Key, Work: v.Work, Prompt: c.GetPrompt(), MaxTokens: n, Deadline: v.Deadline}
	return request, v.Offset, nil
}

// fingerprint returns a hash of the content of request. Comparing hashes
// detects that a request identifier is used again for different content.
func fingerprint(request sardineknot.Request) uint64 {
	d := xxhash.New()
	fmt.Fprintf(d, "%s %d %s", request.Work.Name, request.MaxTokens, request.Prompt)
	return d.Sum64()
}
