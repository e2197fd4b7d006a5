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

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/buffer"
	"sardineknot.example/sardineknot/internal/answer/generation"
	"sardineknot.example/sardineknot/internal/answer/registry"
	"sardineknot.example/sardineknot/internal/caller/delivery"
	"sardineknot.example/sardineknot/internal/caller/header"
	"sardineknot.example/sardineknot/internal/caller/reply"
	api "sardineknot.example/sardineknot/internal/rpc/openai"
)

// MaxRequestBytes bounds the body of a request, in bytes.
const MaxRequestBytes = 4 << 20

// Handler is an http.Handler for POST /v1/completions. All fields are set
// before use.
type Handler struct {
	// Configuration gives the contracts.
	Configuration sardineknot.ConfigurationSource
	// Answers holds the answers that this host produces.
	Answers *registry.Registry
	// Runner produces answers.
	Runner *generation.Runner
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
	b, err := h.Answers.Open(q.Key, fingerprint(q), func(ctx context.Context, b *buffer.Buffer) {
		h.Runner.Run(ctx, q, b)
	})
	if err != nil {
		reply.Error(w, err)
		return
	}
	d := b.Attach()
	defer b.Detach(d)
	m.End(deliver(w, r, b, d, o, m))
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
	q = sardineknot.Request{Key: v.Key, Work: v.Work, Prompt: c.GetPrompt(), MaxTokens: n, Deadline: v.Deadline}
	return q, v.Offset, nil
}

// fingerprint returns a hash of the content of q.
func fingerprint(q sardineknot.Request) uint64 {
	d := xxhash.New()
	fmt.Fprintf(d, "%s %d %s", q.Work.Name, q.MaxTokens, q.Prompt)
	return d.Sum64()
}
