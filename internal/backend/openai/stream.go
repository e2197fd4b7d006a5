package openai

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	api "sardineknot.example/sardineknot/internal/rpc/openai"
)

const (
	// maxEventBytes bounds each line of a stream.
	maxEventBytes = 64 << 10
	endOfStream   = "[DONE]"
)

// stream is a sardineknot.TokenStream that reads server-sent events.
type stream struct {
	client *Client
	server sardineknot.BackendServer
	// body is the body of the response.
	body    io.ReadCloser
	scanner *bufio.Scanner
	// nextIndex is the index of the token to be read next.
	nextIndex int
	// watchdog cancels the request after progressTimeout without an event.
	watchdog *time.Timer
	cancel   context.CancelFunc
}

// stream opens a stream by calling open. offset is the index of the first
// token. The progress timeout of a resumed stream runs from the start. The
// progress timeout of a new stream runs only from its first event, since the
// request may wait in the engine's queue or for the transfer of its KV cache;
// the caller bounds that wait through ctx.
func (c *Client) stream(ctx context.Context, backend sardineknot.BackendServer, offset int, resumed bool, open func(context.Context) (*http.Response, error)) (sardineknot.TokenStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	t := time.AfterFunc(c.progressTimeout, cancel)
	if !resumed {
		t.Stop()
	}
	p, err := open(ctx)
	if err != nil {
		t.Stop()
		cancel()
		return nil, err
	}
	b := bufio.NewScanner(p.Body)
	b.Buffer(nil, maxEventBytes)
	return &stream{client: c, server: backend, body: p.Body, scanner: b, nextIndex: offset, watchdog: t, cancel: cancel}, nil
}

// Next implements sardineknot.TokenStream.
func (s *stream) Next() (sardineknot.Token, error) {
	var id string
	for s.scanner.Scan() {
		s.watchdog.Reset(s.client.progressTimeout)
		k, v, _ := strings.Cut(s.scanner.Text(), ": ")
		switch {
		case k == "id":
			id = v
		case k == "data" && v == endOfStream:
			return sardineknot.Token{}, io.EOF
		case k == "data":
			return s.decodeToken(id, v)
		}
	}
	return sardineknot.Token{}, s.interrupted("stream ended without [DONE]")
}

// Close implements sardineknot.TokenStream.
func (s *stream) Close() error {
	s.watchdog.Stop()
	s.cancel()
	return errors.WithStack(s.body.Close())
}

// decodeToken decodes one event. It fails with an InterruptedError if the event
// is not the next one or cannot be decoded.
func (s *stream) decodeToken(id, data string) (sardineknot.Token, error) {
	n, err := strconv.Atoi(id)
	if err != nil || n != s.nextIndex {
		return sardineknot.Token{}, s.interrupted(fmt.Sprintf("got event ID %q, want %d", id, s.nextIndex))
	}
	var a api.CompletionResponse
	err = unmarshaler.Unmarshal([]byte(data), &a)
	if err != nil || len(a.GetChoices()) == 0 {
		return sardineknot.Token{}, s.interrupted("event is not a completion")
	}
	s.nextIndex++
	return sardineknot.Token{Index: n, Text: a.GetChoices()[0].GetText()}, nil
}

// interrupted returns an InterruptedError at the current offset. It closes the
// idle connections, since they may be stalled as well.
func (s *stream) interrupted(reason string) error {
	s.client.transport.CloseIdleConnections()
	return errors.WithStack(&sardineknot.InterruptedError{Offset: s.nextIndex, Reason: reason})
}
