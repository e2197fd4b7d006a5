package completions

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/delivery"
	"sardineknot.example/sardineknot/internal/caller/reply"
	api "sardineknot.example/sardineknot/internal/rpc/openai"
)

// writer writes one answer to a caller's connection.
type writer struct {
	w http.ResponseWriter
	// offset is the index of the first token to write.
	offset int
	// next is the index of the next token. It is at least offset.
	next     int
	delivery *delivery.Delivery
	// begun tells that the answer's head is written.
	begun bool
}

// copy writes the tokens that read returns, until it fails.
func (w *writer) copy(read func() (sardineknot.Token, error)) error {
	c := http.NewResponseController(w.w)
	for {
		t, err := read()
		if err != nil {
			return err
		}
		w.begin()
		writeToken(w.w, t)
		w.next++
		w.delivery.Token()
		if c.Flush() != nil {
			return context.Canceled
		}
	}
}

// end writes the end of an answer that ended with err, and returns err. An
// answer that failed before its first token is written as an HTTP answer of its
// own.
func (w *writer) end(err error) error {
	if !w.begun && !errors.Is(err, io.EOF) {
		reply.Error(w.w, err)
		return err
	}
	w.begin()
	writeEnd(w.w, w.next, err)
	return err
}

func (w *writer) begin() {
	if !w.begun {
		w.begun = true
		w.w.Header().Set("Content-Type", "text/event-stream")
	}
}

func writeToken(w io.Writer, t sardineknot.Token) {
	m := &api.CompletionResponse{Choices: []*api.Choice{{Text: t.Text}}}
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", t.Index, marshal(m))
}

// writeEnd writes the end of an answer of n tokens.
func writeEnd(w io.Writer, n int, err error) {
	if !errors.Is(err, io.EOF) {
		fmt.Fprintf(w, "event: error\ndata: %s\n\n", reply.JSON(err))
		return
	}
	m := &api.CompletionResponse{
		Choices: []*api.Choice{{FinishReason: "length"}},
		Usage:   &api.Usage{CompletionTokens: int32(n)},
	}
	fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", marshal(m))
}

func marshal(m *api.CompletionResponse) []byte {
	b, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}
