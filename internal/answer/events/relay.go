package events

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// progressEvents is the number of events between two progress reports.
	progressEvents = 8
	// maxEventBytes bounds the size of an event.
	maxEventBytes = 1 << 20
	// maxFailureBytes bounds the body of a response that is not a stream.
	maxFailureBytes = 1 << 20
	// readBytes is the size of the read buffer.
	readBytes = 4 << 10
)

// errTruncated reports a stream that ended in the middle of an event, or without
// one.
var errTruncated = errors.New("stream ended before an event was complete")

// event is an event of a stream. The last event is followed by one with end set,
// which has no text.
type event struct {
	text []byte
	// id is the identifier of the event, or zero if it has none.
	id  int
	end bool
}

// writeError reports that writing to the caller failed.
type writeError struct {
	cause error
}

// Error implements error.
func (e *writeError) Error() string { return "write to the caller failed: " + e.cause.Error() }

// relayStream relays the stream to the caller and reports the end of the job.
func (a *attempt) relayStream() error {
	defer a.response.Body.Close()
	if a.response.Status != http.StatusOK {
		return a.relayFailure()
	}
	err := a.copyEvents()
	if err != nil {
		a.reportFailure(err, a.decode.Name)
		return err
	}
	a.reportSound()
	a.report(sardineknot.JobFinished, a.decode.Name)
	a.Log.Info().Stringer("event", sardineknot.LogStreamEnded).Str("request", string(a.call.ID)).Str("server", string(a.decode.Name)).
		Int("tries", a.number+1).Dur("first_ms", a.timeToFirst).Dur("pause_ms", a.longestPause).Int("tokens", a.tokens()).Int("expected", a.job.ExpectedTokens).Int("longest", a.job.MaxTokens).Send()
	return nil
}

// relayFailure relays a response whose status is not 200. It fails instead if
// the call may be retried or the response header was already sent.
func (a *attempt) relayFailure() error {
	b, err := io.ReadAll(io.LimitReader(a.response.Body, maxFailureBytes))
	e := a.statusError()
	a.reportFailure(e, a.decode.Name)
	if err != nil || a.headerSent || a.response.Status >= http.StatusInternalServerError && a.mayRunAgain() {
		return e
	}
	h := a.response.Header.Clone()
	h.Set("Content-Length", strconv.Itoa(len(b)))
	a.sendHeader(a.response.Status, h)
	return a.writer.Write(b)
}

// copyEvents relays the events of the stream to the caller. The header goes with
// the first event, so that a stream that has none can still be replaced by one of
// another engine or by an error. copyEvents returns nil at the end of the stream.
func (a *attempt) copyEvents() error {
	for {
		e, err := a.nextEvent()
		if err != nil {
			return err
		}
		if e.end {
			return a.finishStream()
		}
		if !a.claimEvent(e.id) {
			return errSilent
		}
		a.sendHeader(a.response.Status, a.response.Header)
		if a.lastEventAt.IsZero() {
			a.recordVersion()
		}
		if err := a.writer.Write(e.text); err != nil {
			return errors.WithStack(&writeError{cause: err})
		}
		a.recordEventTime()
		a.reportProgress()
	}
}

// finishStream ends the answer at the end of the stream. A stream without any event
// was broken off, unless the caller already has the others.
func (a *attempt) finishStream() error {
	if a.resumeAfter == 0 && a.eventCount == 0 {
		return errors.WithStack(errTruncated)
	}
	a.sendHeader(a.response.Status, a.response.Header)
	return nil
}

// nextEvent returns the next event that the caller does not have. While it
// waits, the engine is watched for silence.
func (a *attempt) nextEvent() (*event, error) {
	if e := a.first; e != nil {
		a.first = nil
		return e, nil
	}
	a.watchSilence(silenceTimeout)
	return a.readEvent()
}

// recordEventTime updates timeToFirst, longestPause and lastEventAt for an
// event that has just been relayed.
func (a *attempt) recordEventTime() {
	n := a.Clock.Now()
	if a.lastEventAt.IsZero() {
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
	if a.lastEventAt.Sub(a.begunAt) >= soundTime && a.eventCount > 1 {
		a.reportSound()
	}
	switch {
	case a.eventCount == 1:
		a.begunAt = a.lastEventAt
		a.report(sardineknot.JobDecodeStarted, a.decode.Name)
	case a.eventCount%progressEvents == 0:
		a.report(sardineknot.JobProgress, a.decode.Name)
	}
}

// readEvent reads the next complete event, and skips events up to resumeAfter.
func (a *attempt) readEvent() (*event, error) {
	for {
		e, err := readEvent(a.reader)
		if err != nil {
			return nil, err
		}
		if e.end || e.id == 0 || e.id > a.resumeAfter {
			return e, nil
		}
	}
}

// readEvent reads an event from r.
func readEvent(r *bufio.Reader) (*event, error) {
	var b bytes.Buffer
	e := &event{}
	for {
		l, err := r.ReadSlice('\n')
		b.Write(l)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && b.Len() < maxEventBytes:
			continue
		case errors.Is(err, io.EOF) && b.Len() > 0:
			return nil, errors.WithStack(errTruncated)
		case errors.Is(err, io.EOF):
			e.end = true
			return e, nil
		case err != nil:
			return nil, err
		}
		if v, ok := bytes.CutPrefix(l, []byte("id:")); ok {
			e.id, _ = strconv.Atoi(string(bytes.TrimSpace(v)))
		}
		if len(bytes.TrimRight(l, "\r\n")) == 0 {
			e.text = b.Bytes()
			return e, nil
		}
		if b.Len() > maxEventBytes {
			return nil, errors.New("event is too long")
		}
	}
}
