package twirp_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/peer/progress"
)

const (
	// pieceBytes is the size of the pieces in which the flows of a link take turns.
	pieceBytes = 4 << 10
	// windowPieces is the number of pieces of a flow that are on the way.
	windowPieces = 8
)

// link is the network link of a host in virtual time. Its flows share its rate.
type link struct {
	// turn has room for the flow whose piece the link carries.
	turn chan struct{}
	// bytesPerSecond is the rate of the link. It is positive.
	bytesPerSecond int
}

// newLink returns a link with the given rate in megabits a second.
func newLink(megabits int) *link {
	return &link{turn: make(chan struct{}, 1), bytesPerSecond: megabits * 1e6 / 8}
}

// carry takes a turn of the link for n bytes.
func (l *link) carry(ctx context.Context, n int) error {
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
	defer func() { <-l.turn }()
	return clock.System{}.Sleep(ctx, time.Duration(n)*time.Second/time.Duration(l.bytesPerSecond))
}

// send sends data over the links from and to. The result returns the bytes as they arrive.
func send(ctx context.Context, data []byte, from, to *link) io.ReadCloser {
	ctx, cancel := context.WithCancel(ctx)
	way := make(chan []byte, windowPieces)
	go func() {
		defer close(way)
		for len(data) > 0 && ctx.Err() == nil {
			p := data[:min(pieceBytes, len(data))]
			if from.carry(ctx, len(p)) != nil {
				return
			}
			select {
			case way <- p:
			case <-ctx.Done():
			}
			data = data[len(p):]
		}
	}()
	return &arriving{ctx: ctx, cancel: cancel, way: way, link: to}
}

// arriving is the receiving end of a flow.
type arriving struct {
	ctx    context.Context
	cancel context.CancelFunc
	way    <-chan []byte
	link   *link
	rest   []byte
}

// Read implements io.Reader.
func (a *arriving) Read(p []byte) (int, error) {
	if len(a.rest) == 0 {
		err := a.receive()
		if err != nil {
			return 0, err
		}
	}
	n := copy(p, a.rest)
	a.rest = a.rest[n:]
	return n, nil
}

// receive waits for the next piece.
func (a *arriving) receive() error {
	select {
	case d, ok := <-a.way:
		if !ok && a.ctx.Err() == nil {
			return io.EOF
		}
		if !ok {
			return errors.WithStack(a.ctx.Err())
		}
		a.rest = d
		return a.link.carry(a.ctx, len(d))
	case <-a.ctx.Done():
		return errors.WithStack(a.ctx.Err())
	}
}

// Close implements io.Closer.
func (a *arriving) Close() error {
	a.cancel()
	return nil
}

// sendResponse makes the body of p, a response of host from, arrive at host to over their
// links. Hosts without links receive it at once.
func sendResponse(ctx context.Context, p *http.Response, from, to *host) (*http.Response, error) {
	if from.link == nil || to.link == nil {
		return p, nil
	}
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	from.sent.Add(int64(len(b)))
	p.Body = send(ctx, bytes.Clone(b), from.link, to.link)
	return p, nil
}

// entryOverhead is about the number of bytes of an entry in an answer of the service beside
// its value, whose text is longer than the value by a third.
const entryOverhead = 120

// carryEntries makes entries arrive from the service at host to.
func (s *service) carryEntries(ctx context.Context, entries []sardineknot.StoreEntry, to *host) error {
	n := entryOverhead
	for _, e := range entries {
		n += entryOverhead + len(e.Value)*4/3
	}
	progress.Begin(ctx)
	_, err := io.Copy(io.Discard, progress.NewReader(ctx, send(ctx, make([]byte, n), s.link, to.link)))
	return err
}
