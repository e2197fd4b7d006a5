package completions

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/buffer"
	"sardineknot.example/sardineknot/internal/caller/delivery"
	"sardineknot.example/sardineknot/internal/caller/reply"
	api "sardineknot.example/sardineknot/internal/rpc/openai"
)

// deliver writes the tokens of b from index offset on to the connection of r,
// as delivery number d, and notes them in m. An answer that failed before its
// first token is written as an HTTP answer of its own. It returns io.EOF after
// the end of a whole answer, and otherwise why the delivery ended.
func deliver(w http.ResponseWriter, r *http.Request, b *buffer.Buffer, d, offset int, m *delivery.Delivery) error {
	c := http.NewResponseController(w)
	for n := offset; ; n++ {
		t, err := b.Next(r.Context(), d, n)
		if err != nil && n == offset && !errors.Is(err, io.EOF) {
			reply.Error(w, err)
			return err
		}
		if n == offset {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		if err != nil {
			writeEnd(w, n, err)
			return err
		}
		writeToken(w, t)
		m.Token()
		if c.Flush() != nil {
			return context.Canceled
		}
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
