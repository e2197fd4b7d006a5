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

// stream is a sardineknot.TokenStream that reads server-sent events. A stream
// without an event for the progress timeout stays open: Next fails, and goes on
// if it is called again and the engine has sent an event.
type stream struct {
	client *Client
	server sardineknot.BackendServer
	// lines receives the lines of the response, and is closed at its end.
	lines <-chan string
	// nextIndex is the index of the token to be read next.
	nextIndex int
	// eventID is the event ID that was read last. A silence may follow it before
	// the data of its event.
	eventID string
	// started reports whether the progress timeout applies.
	started bool
	// silent reports whether the last call of Next failed because no event
	// arrived in time.
	silent bool
	// cancel ends the request.
	cancel context.CancelFunc
}

// stream opens a stream by calling open. offset is the index of the first
// token. The response to a resumed stream is due within the progress timeout,
// and so is each event. The progress timeout of a new stream applies only from
// its first event, since the request may wait in the engine's queue or for the
// transfer of its KV cache; the caller bounds that wait through ctx.
func (c *Client) stream(ctx context.Context, backend sardineknot.BackendServer, offset int, resumed bool, open func(context.Context) (*http.Response, error)) (sardineknot.TokenStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	t := time.AfterFunc(c.progressTimeout, cancel)
	if !resumed {
		t.Stop()
	}
	p, err := open(ctx)
	t.Stop()
	if err != nil {
		cancel()
		return nil, err
	}
	l := make(chan string)
	go readLines(ctx, p.Body, l)
	return &stream{client: c, server: backend, lines: l, nextIndex: offset, started: resumed, cancel: cancel}, nil
}

// readLines sends the lines of body to lines until body ends or ctx is done.
// It then closes both.
func readLines(ctx context.Context, body io.ReadCloser, lines chan<- string) {
	defer close(lines)
	defer body.Close()
	b := bufio.NewScanner(body)
	b.Buffer(nil, maxEventBytes)
	for b.Scan() {
		select {
		case lines <- b.Text():
		case <-ctx.Done():
			return
		}
	}
}

// Next implements sardineknot.TokenStream.
func (s *stream) Next() (sardineknot.Token, error) {
	for {
		l, err := s.nextLine()
		if err != nil {
			return sardineknot.Token{}, err
		}
		k, v, _ := strings.Cut(l, ": ")
		switch {
		case k == "id":
			s.eventID = v
		case k == "data" && v == endOfStream:
			return sardineknot.Token{}, io.EOF
		case k == "data":
			return s.decodeToken(s.eventID, v)
		}
	}
}

// nextLine returns the next line of the response. It fails with an
// InterruptedError if there is none within the progress timeout.
func (s *stream) nextLine() (string, error) {
	var c <-chan time.Time
	if s.started {
		t := time.NewTimer(s.client.progressTimeout)
		defer t.Stop()
		c = t.C
	}
	s.silent = false
	select {
	case l, ok := <-s.lines:
		if !ok {
			return "", s.interrupted("stream ended without [DONE]")
		}
		s.started = true
		return l, nil
	case <-c:
		s.silent = true
		return "", s.interrupted("no event for " + s.client.progressTimeout.String())
	}
}

// Silent reports whether the last call of Next failed because no event arrived
// in time. Next may then be called again.
func (s *stream) Silent() bool { return s.silent }

// Close implements sardineknot.TokenStream.
func (s *stream) Close() error {
	s.cancel()
	return nil
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
