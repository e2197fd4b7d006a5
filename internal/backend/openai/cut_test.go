package openai_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/openai"
)

// newCutEngine returns an engine that answers with text and then ends the connection, as the
// kernel does for a killed process. The answers have neither a length nor chunks.
func newCutEngine(t *testing.T, text string) sardineknot.BackendServer {
	v := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+text)
			c.Close()
		}
	}))
	t.Cleanup(v.Close)
	return sardineknot.BackendServer{Name: "d", Address: netip.MustParseAddrPort(strings.TrimPrefix(v.URL, "http://"))}
}

// TestCutStream guards against a stream that ends as complete without its end mark because the
// engine is killed.
func TestCutStream(t *testing.T) {
	const whole = "id: 0\n" + eventData + "id: 1\n" + eventData + "data: [DONE]"
	for n := range len(whole) + 1 {
		s, err := openai.NewClient(time.Minute).Decode(t.Context(), newCutEngine(t, whole[:n]), sardineknot.EngineRequest{}, sardineknot.KVCacheLocation{Address: "127.0.0.1:1"})
		is := is.New(t)
		is.NoErr(err)
		tokens := -1
		for ; err == nil; tokens++ {
			_, err = s.Next()
		}
		is.Equal(errors.Is(err, io.EOF), n == len(whole))
		is.Equal(isInterrupted(err), n < len(whole))
		is.True(tokens <= strings.Count(whole[:n], "}]}"))
		is.NoErr(s.Close())
	}
}

// TestCutAnswers guards against a part of an answer that is taken for the whole one because
// the engine is killed.
func TestCutAnswers(t *testing.T) {
	for whole, request := range map[string]func(ctx context.Context, c *openai.Client, s sardineknot.BackendServer) error{
		`{"kv_transfer_params":{"remote_engine_id":"e","remote_block_ids":[1,23],"remote_host":"127.0.0.1","remote_port":12}}`: func(ctx context.Context, c *openai.Client, s sardineknot.BackendServer) error {
			_, err := c.Prefill(ctx, s, sardineknot.EngineRequest{})
			return err
		},
		`{"running":12,"waiting":34}`: func(ctx context.Context, c *openai.Client, s sardineknot.BackendServer) error {
			_, err := c.Load(ctx, s)
			return err
		},
	} {
		t.Run(whole, func(t *testing.T) {
			for n := range len(whole) + 1 {
				err := request(t.Context(), openai.NewClient(0), newCutEngine(t, whole[:n]))
				var u *sardineknot.UnavailableError
				is.New(t).Equal(errors.As(err, &u), n < len(whole))
				is.New(t).Equal(err == nil, n == len(whole))
			}
		})
	}
}
