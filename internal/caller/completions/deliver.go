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

// answerWriter writes one answer to a caller as server-sent events.
type answerWriter struct {
	w http.ResponseWriter
	// offset is the index of the first token that the caller requested.
	offset int
	// next is the index of the next token to write. It is at least offset.
	next int
	// delivery measures the latencies of the answer and records its outcome.
	delivery *delivery.Delivery
	// headerWritten reports whether the HTTP header has been set.
	headerWritten bool
}

// copyTokens writes the tokens that read returns until read fails, and returns
// the error of read. It returns context.Canceled if the caller's connection
// fails.
func (w *answerWriter) copyTokens(read func() (sardineknot.Token, error)) error {
	c := http.NewResponseController(w.w)
	for {
		t, err := read()
		if err != nil {
			return err
		}
		w.writeHeader()
		writeToken(w.w, t)
		w.next++
		w.delivery.Token()
		if c.Flush() != nil {
			return context.Canceled
		}
	}
}

// finish writes the end of an answer that ended with err, and returns err. The
// error io.EOF means that the answer is complete. If the answer failed before
// its first token, finish writes an HTTP error response; otherwise it writes
// the error as the last event of the stream.
func (w *answerWriter) finish(err error) error {
	if !w.headerWritten && !errors.Is(err, io.EOF) {
		reply.Error(w.w, err)
		return err
	}
	w.writeHeader()
	writeEnd(w.w, w.next, err)
	return err
}

// writeHeader sets the HTTP header on its first call.
func (w *answerWriter) writeHeader() {
	if !w.headerWritten {
		w.headerWritten = true
		w.w.Header().Set("Content-Type", "text/event-stream")
	}
}

// writeToken writes token as an event whose identifier is the token's index.
func writeToken(w io.Writer, token sardineknot.Token) {
	m := &api.CompletionResponse{Choices: []*api.Choice{{Text: token.Text}}}
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", token.Index, marshal(m))
}

// writeEnd writes the last events of an answer that ended with err after count
// tokens.
func writeEnd(w io.Writer, count int, err error) {
	if !errors.Is(err, io.EOF) {
		fmt.Fprintf(w, "event: error\ndata: %s\n\n", reply.JSON(err))
		return
	}
	m := &api.CompletionResponse{
		Choices: []*api.Choice{{FinishReason: "length"}},
		Usage:   &api.Usage{CompletionTokens: int32(count)},
	}
	fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", marshal(m))
}

// marshal returns response as JSON.
func marshal(response *api.CompletionResponse) []byte {
	b, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(response)
	if err != nil {
		panic(err)
	}
	return b
}
