package events

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// progressEvents is the number of events between two reports of progress.
	progressEvents = 8
	// silence is the time without an event after which a stream that may go on
	// at another engine looks for one. An engine that ran out of memory lets
	// one answer wait, and then reads it in again while its others pause.
	silence = 600 * time.Millisecond
	// maxEventBytes bounds an event.
	maxEventBytes = 1 << 20
	// maxFailureBytes bounds an answer that is not a stream.
	maxFailureBytes = 1 << 20
	// readBytes is the size of the read buffer.
	readBytes = 4 << 10
)

// errSilent ends a stream without events.
var errSilent = errors.New("the engine is silent")

// errCut reports a stream that ended within an event.
var errCut = errors.New("the stream ended within an event")

// writeError reports that the caller no longer reads.
type writeError struct {
	cause error
}

// Error implements error.
func (e *writeError) Error() string { return "the caller does not read: " + e.cause.Error() }

// copy passes the events of p on, without those that the caller has.
func (t *try) copy(p *sardineknot.Reply) error {
	r := bufio.NewReaderSize(p.Body, readBytes)
	for {
		b, n, err := t.next(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if n > 0 && n <= t.last {
			continue
		}
		if err := t.writer.Write(b); err != nil {
			return errors.WithStack(&writeError{cause: err})
		}
		t.passed++
		t.progress.Store(int64(t.passed))
		t.clockEvent()
		t.count()
		if n > 0 {
			t.last = n
		}
	}
}

// clockEvent notes the time of an event.
func (t *try) clockEvent() {
	n := t.Clock.Now()
	if t.passed == 1 {
		t.first = n.Sub(t.call.Arrived)
	} else {
		t.pause = max(t.pause, n.Sub(t.lastAt))
	}
	t.lastAt = n
}

// count reports progress at times.
func (t *try) count() {
	t.events++
	switch {
	case t.events == 1:
		t.report(sardineknot.JobDecodeStarted, t.decode.Name)
	case t.events%progressEvents == 0:
		t.report(sardineknot.JobProgress, t.decode.Name)
	}
}

// next returns the next whole event and its identifier, which is zero if it has
// none. A stream that may go on elsewhere is ended after a silence.
func (t *try) next(r *bufio.Reader) (event []byte, id int, err error) {
	if t.mayLeave() {
		p := t.passed
		e := time.AfterFunc(silence, func() { t.leave(p) })
		defer e.Stop()
	}
	var b bytes.Buffer
	for {
		l, err := r.ReadSlice('\n')
		b.Write(l)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && b.Len() < maxEventBytes:
			continue
		case errors.Is(err, io.EOF) && b.Len() > 0:
			return nil, 0, errors.WithStack(errCut)
		case err != nil:
			return nil, 0, err
		}
		if v, ok := bytes.CutPrefix(l, []byte("id:")); ok {
			id, _ = strconv.Atoi(string(bytes.TrimSpace(v)))
		}
		if len(bytes.TrimRight(l, "\r\n")) == 0 {
			return b.Bytes(), id, nil
		}
		if b.Len() > maxEventBytes {
			return nil, 0, errors.New("an event is too long")
		}
	}
}

func readAll(p *sardineknot.Reply) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(p.Body, maxFailureBytes))
	return b, errors.WithStack(err)
}
