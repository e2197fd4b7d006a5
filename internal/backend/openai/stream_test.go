package openai_test

import (
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

const (
	// progress is the progress timeout of the client.
	progress = 20 * time.Millisecond
	// maxSilences bounds the times for which a test reads a silent stream again.
	maxSilences = 1000
	// eventData is the part of an event that follows its ID.
	eventData = "data: {\"choices\":[{\"text\":\"t\"}]}\n\n"
)

// newSilentEngine returns an engine that streams two tokens, and is silent
// within the event of the second one until release is closed.
func newSilentEngine(t *testing.T, release chan struct{}) sardineknot.BackendServer {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "id: 0\n"+eventData)
		_, _ = io.WriteString(w, "id: 1\n")
		_ = http.NewResponseController(w).Flush()
		<-release
		_, _ = io.WriteString(w, eventData)
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
	t.Cleanup(s.Close)
	return sardineknot.BackendServer{Name: "d", Address: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))}
}

// open returns the stream of a new decode on server.
func open(t *testing.T, server sardineknot.BackendServer) sardineknot.TokenStream {
	t.Helper()
	c := openai.NewClient(progress)
	s, err := c.Decode(t.Context(), server, sardineknot.EngineRequest{MaxTokens: 2}, sardineknot.KVCacheLocation{Address: "127.0.0.1:1"})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// expectToken checks that the next token of s has the given index. It reads s
// again after each silence.
func expectToken(t *testing.T, s sardineknot.TokenStream, index int) {
	t.Helper()
	k, err := s.Next()
	for n := 0; n < maxSilences && isInterrupted(err); n++ {
		k, err = s.Next()
	}
	is.New(t).NoErr(err)
	is.New(t).Equal(k.Index, index)
}

// expectInterrupted checks that the next token of s is missing.
func expectInterrupted(t *testing.T, s sardineknot.TokenStream) {
	t.Helper()
	_, err := s.Next()
	is.New(t).True(isInterrupted(err))
}

func isInterrupted(err error) bool {
	var i *sardineknot.InterruptedError
	return errors.As(err, &i)
}

// Guards against streams that are lost because the client closes the connection
// to a silent engine, which may then refuse to resume the stream.
func TestSilentStreamStaysOpen(t *testing.T) {
	t.Run("goes on after a silence", func(t *testing.T) {
		c := make(chan struct{})
		s := open(t, newSilentEngine(t, c))
		expectToken(t, s, 0)
		expectInterrupted(t, s)
		close(c)
		expectToken(t, s, 1)
		_, err := s.Next()
		is.New(t).Equal(err, io.EOF)
	})
	t.Run("ends when it is closed", func(t *testing.T) {
		c := make(chan struct{})
		defer close(c)
		s := open(t, newSilentEngine(t, c))
		expectToken(t, s, 0)
		is.New(t).NoErr(s.Close())
		expectInterrupted(t, s)
	})
}
