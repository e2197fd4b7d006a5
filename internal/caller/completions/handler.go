// Package completions serves generations to callers, as streamed completions
// in the form of the OpenAI interface.
//
// The event identifier of a token is its index. The stream of a whole answer
// ends with a chunk that has a finish_reason and the number of tokens, and
// then with the data [DONE]; any other end means that the caller has not the
// whole. A caller that asks again with the same request identifier and the
// header Last-Event-ID gets the rest, and only the rest.
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

// MaxRequestBytes bounds the body of a request, in bytes.
const MaxRequestBytes = 4 << 20

const (
	// relayLimit bounds the time without a token from another host.
	relayLimit = 10 * time.Second
	// relayPause is the pause before the directory is asked again.
	relayPause = 20 * time.Millisecond
)

// Handler is an http.Handler for POST /v1/completions. All fields are set
// before use.
type Handler struct {
	// Configuration gives the contracts.
	Configuration sardineknot.ConfigurationSource
	// Answers holds the answers that this host produces.
	Answers *registry.Registry
	// Runner produces answers.
	Runner *generation.Runner
	// Relay reads the answers that other hosts produce.
	Relay *h2c.Relay
	// Clock gives the time.
	Clock sardineknot.Clock
	// Outcomes takes the outcome of every delivery. Nil discards them.
	Outcomes sardineknot.OutcomeRecorder
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, o, err := h.read(w, r)
	if err != nil {
		reply.Error(w, err)
		return
	}
	m := delivery.NewDelivery(h.Clock, h.Outcomes, q.Key.Account, q.Work)
	m.End(h.answer(r.Context(), q, &writer{w: w, offset: o, next: o, delivery: m}))
}

// answer writes the answer to q to w, from this host or from the one that
// produces it. A host that dies meanwhile is followed by the next one. It
// returns io.EOF after the end of a whole answer, and otherwise why the
// delivery ended.
func (h *Handler) answer(ctx context.Context, q sardineknot.Request, w *writer) error {
	f := fingerprint(q)
	p := h.Clock.Now()
	for {
		n := w.next
		err := h.own(ctx, q, f, w)
		var e *sardineknot.ProducedElsewhereError
		if errors.As(err, &e) {
			err = h.relayed(ctx, e.Record, f, w)
		}
		var u *sardineknot.UnavailableError
		if !errors.As(err, &u) {
			return w.end(err)
		}
		if w.next > n {
			p = h.Clock.Now()
		}
		if h.Clock.Now().Sub(p) > relayLimit {
			return w.end(&sardineknot.InterruptedError{Offset: w.next, Reason: err.Error()})
		}
		select {
		case <-time.After(relayPause):
		case <-ctx.Done():
			return w.end(errors.WithStack(ctx.Err()))
		}
	}
}

// own writes the answer of this host.
func (h *Handler) own(ctx context.Context, q sardineknot.Request, f uint64, w *writer) error {
	o := w.next
	b, err := h.Answers.Open(q.Key, f, func(ctx context.Context, b *buffer.Buffer) {
		h.Runner.Run(ctx, q, b, o)
	})
	if err != nil {
		return err
	}
	d := b.Attach()
	defer b.Detach(d)
	return w.copy(func() (sardineknot.Token, error) { return b.Next(ctx, d, w.next) })
}

// relayed writes the answer that another host produces.
func (h *Handler) relayed(ctx context.Context, a sardineknot.AnswerRecord, f uint64, w *writer) error {
	s, err := h.Relay.Open(ctx, a, f, w.next)
	if err != nil {
		return err
	}
	defer s.Close()
	return w.copy(s.Next)
}

// read returns the request and the index of the first token to deliver.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) (q sardineknot.Request, offset int, err error) {
	v, err := header.Read(r, h.Configuration.Current(), h.Clock.Now())
	if err != nil {
		return q, 0, err
	}
	if v.Work.Kind != sardineknot.WorkGeneration {
		return q, 0, errors.WithStack(&sardineknot.InvalidError{What: "X-Work", Got: string(v.Work.Name), Expected: "a generation"})
	}
	var c api.CompletionRequest
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequestBytes))
	if err == nil {
		err = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(b, &c)
	}
	if err != nil {
		return q, 0, errors.WithStack(&sardineknot.InvalidError{What: "body", Got: err.Error(), Expected: "a JSON object of at most 4 MiB"})
	}
	if c.GetPrompt() == "" {
		return q, 0, errors.WithStack(&sardineknot.InvalidError{What: "prompt", Expected: "a text that is not empty"})
	}
	n := int(c.GetMaxTokens())
	if n == 0 {
		n = v.Work.MaxTokens
	}
	if n < 0 || n > v.Work.MaxTokens {
		return q, 0, errors.WithStack(&sardineknot.InvalidError{What: "max_tokens", Got: fmt.Sprint(n), Expected: fmt.Sprintf("1 to %d", v.Work.MaxTokens)})
	}
	if v.Offset > n {
		return q, 0, errors.WithStack(&sardineknot.InvalidError{What: "Last-Event-ID", Got: fmt.Sprint(v.Offset - 1), Expected: fmt.Sprintf("at most %d, the last token of the answer", n-1)})
	}
	q = sardineknot.Request{Key: v.Key, Work: v.Work, Prompt: c.GetPrompt(), MaxTokens: n, Deadline: v.Deadline}
	return q, v.Offset, nil
}

// fingerprint returns a hash of the content of q.
func fingerprint(q sardineknot.Request) uint64 {
	d := xxhash.New()
	fmt.Fprintf(d, "%s %d %s", q.Work.Name, q.MaxTokens, q.Prompt)
	return d.Sum64()
}
