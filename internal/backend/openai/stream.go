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
	// maxEventBytes bounds one line of a stream.
	maxEventBytes = 64 << 10
	endOfStream   = "[DONE]"
)

// stream is a sardineknot.TokenStream over server-sent events.
type stream struct {
	client *Client
	server sardineknot.BackendServer
	// body is the open answer.
	body io.ReadCloser
	scan *bufio.Scanner
	// next is the index of the next token.
	next int
	// watchdog ends the request after a time without progress.
	watchdog *time.Timer
	cancel   context.CancelFunc
}

// stream opens a stream whose next token has index offset. A stream that is
// resumed has to make progress from the start. One that is new may wait in the
// engine's queue or for its transfer, which the caller bounds through ctx; it
// has to make progress after its first event.
func (c *Client) stream(ctx context.Context, s sardineknot.BackendServer, offset int, resumed bool, open func(context.Context) (*http.Response, error)) (sardineknot.TokenStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	t := time.AfterFunc(c.progress, cancel)
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
	return &stream{client: c, server: s, body: p.Body, scan: b, next: offset, watchdog: t, cancel: cancel}, nil
}

// Next implements sardineknot.TokenStream.
func (s *stream) Next() (sardineknot.Token, error) {
	var id string
	for s.scan.Scan() {
		s.watchdog.Reset(s.client.progress)
		k, v, _ := strings.Cut(s.scan.Text(), ": ")
		switch {
		case k == "id":
			id = v
		case k == "data" && v == endOfStream:
			return sardineknot.Token{}, io.EOF
		case k == "data":
			return s.token(id, v)
		}
	}
	return sardineknot.Token{}, s.interrupted("stream ended without its end mark")
}

// Close implements sardineknot.TokenStream.
func (s *stream) Close() error {
	s.watchdog.Stop()
	s.cancel()
	return errors.WithStack(s.body.Close())
}

// token decodes one event. An event out of order breaks the stream.
func (s *stream) token(id, data string) (sardineknot.Token, error) {
	n, err := strconv.Atoi(id)
	if err != nil || n != s.next {
		return sardineknot.Token{}, s.interrupted(fmt.Sprintf("event %q in place of %d", id, s.next))
	}
	var a api.CompletionResponse
	err = unmarshaler.Unmarshal([]byte(data), &a)
	if err != nil || len(a.GetChoices()) == 0 {
		return sardineknot.Token{}, s.interrupted("event is not a completion")
	}
	s.next++
	return sardineknot.Token{Index: n, Text: a.GetChoices()[0].GetText()}, nil
}

func (s *stream) interrupted(reason string) error {
	s.client.transport.CloseIdleConnections()
	return errors.WithStack(&sardineknot.InterruptedError{Offset: s.next, Reason: reason})
}
