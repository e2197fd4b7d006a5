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
	// progressEvents is the number of events between two progress reports.
	progressEvents = 8
	// silenceTimeout is the time without an event after which another engine is
	// requested for a resumable stream. An engine that runs out of memory
	// causes such silence: it suspends one answer and later recomputes it,
	// while its other answers pause.
	silenceTimeout = 600 * time.Millisecond
	// maxEventBytes bounds the size of an event.
	maxEventBytes = 1 << 20
	// maxFailureBytes bounds the body of a response that is not a stream.
	maxFailureBytes = 1 << 20
	// readBytes is the size of the read buffer.
	readBytes = 4 << 10
)

// errSilent is the cancellation cause of an exchange in which the engine sent
// nothing within headerTimeout or silenceTimeout.
var errSilent = errors.New("the engine is silent")

// errTruncated reports a stream that ended in the middle of an event.
var errTruncated = errors.New("stream ended in the middle of an event")

// writeError reports that writing to the caller failed.
type writeError struct {
	cause error
}

// Error implements error.
func (e *writeError) Error() string { return "write to the caller failed: " + e.cause.Error() }

// copyEvents relays the events of p to the caller and skips those that the
// caller already has. It returns nil at the end of the stream.
func (a *attempt) copyEvents(p *sardineknot.Response) error {
	r := bufio.NewReaderSize(p.Body, readBytes)
	for {
		b, n, err := a.nextEvent(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if n > 0 && n <= a.lastEventID {
			continue
		}
		if err := a.writer.Write(b); err != nil {
			return errors.WithStack(&writeError{cause: err})
		}
		a.relayedEvents++
		a.relayedEventsAtomic.Store(int64(a.relayedEvents))
		a.recordEventTime()
		a.reportProgress()
		if n > 0 {
			a.lastEventID = n
		}
	}
}

// recordEventTime updates timeToFirst, longestPause and lastEventAt for an
// event that has just been relayed.
func (a *attempt) recordEventTime() {
	n := a.Clock.Now()
	if a.relayedEvents == 1 {
		a.timeToFirst = n.Sub(a.call.ArrivedAt)
	} else {
		a.longestPause = max(a.longestPause, n.Sub(a.lastEventAt))
	}
	a.lastEventAt = n
}

// reportProgress reports the start of the decode at the first event, and
// progress after every progressEvents events.
func (a *attempt) reportProgress() {
	a.eventCount++
	switch {
	case a.eventCount == 1:
		a.report(sardineknot.JobDecodeStarted, a.decode.Name)
	case a.eventCount%progressEvents == 0:
		a.report(sardineknot.JobProgress, a.decode.Name)
	}
}

// nextEvent returns the next complete event and its identifier, which is zero
// if the event has none. If the stream may fail over, failOver is called after
// silenceTimeout without an event.
func (a *attempt) nextEvent(r *bufio.Reader) (event []byte, id int, err error) {
	if a.mayFailOver() {
		p := a.relayedEvents
		e := time.AfterFunc(silenceTimeout, func() { a.failOver(p) })
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
			return nil, 0, errors.WithStack(errTruncated)
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
			return nil, 0, errors.New("event is too long")
		}
	}
}

func readAll(p *sardineknot.Response) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(p.Body, maxFailureBytes))
	return b, errors.WithStack(err)
}
