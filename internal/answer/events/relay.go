package events

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// progressEvents is the number of events between two progress reports.
	progressEvents = 8
	// maxFailureBytes bounds the body of a response that is not a stream. A longer
	// one is not relayed, since a part of it would look whole.
	maxFailureBytes = 1 << 20
)

// errFailureTooLong reports a response that is not a stream and that is longer than
// maxFailureBytes, or than the memory that is left.
var errFailureTooLong = errors.New("failure is too long")

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
	a.recordShortPace()
	a.report(sardineknot.JobFinished, a.decode.Name)
	a.Log.Info().Stringer("event", sardineknot.LogStreamEnded).Str("request", string(a.call.ID)).Str("server", string(a.decode.Name)).
		Int("tries", a.number+1).Str("framing", a.framing()).Int("first", a.firstID).Int("last", a.resumeAfter).Dur("first_ms", a.timeToFirst).Dur("pause_ms", a.longestPause).Int("tokens", a.tokens()).Int("expected", a.job.ExpectedTokens).Int("longest", a.job.MaxTokens).Send()
	return nil
}

// relayFailure relays a response whose status is not 200. It fails instead if
// the call may be retried or the response header was already sent.
func (a *attempt) relayFailure() error {
	b, err := a.readFailure()
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

// readFailure returns the body of a response that is not a stream.
func (a *attempt) readFailure() ([]byte, error) {
	var b bytes.Buffer
	var held int64
	defer a.Memory.Release(&held)
	for {
		if b.Len() > maxFailureBytes || !a.Memory.Grow(&held, growthFactor*b.Len()) {
			return nil, errors.WithStack(errFailureTooLong)
		}
		_, err := io.CopyN(&b, a.response.Body, readBytes)
		if errors.Is(err, io.EOF) {
			return b.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
	}
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
		if e.end && a.claimEnd() {
			return a.finishStream(e.text)
		}
		err = a.confirmVersion()
		if err != nil {
			return err
		}
		if e.end || !a.claimEvent(e) {
			return errSilent
		}
		a.sendHeader(a.response.Status, a.response.Header)
		if a.lastEventAt.IsZero() {
			a.recordVersion()
		}
		a.readAt = a.Clock.Now()
		if err := a.writer.Write(e.text); err != nil {
			return errors.WithStack(&writeError{cause: err})
		}
		a.recordEventTime()
		a.written += a.lastEventAt.Sub(a.readAt)
		a.recordEvent(e.id)
	}
}

// finishStream ends the answer at the end of the stream, with the comments that follow the
// last event. A stream without any event was broken off, unless the caller already has the
// others.
func (a *attempt) finishStream(comments []byte) error {
	if a.resumeAfter == 0 && a.eventCount == 0 {
		return errors.WithStack(errTruncated)
	}
	a.sendHeader(a.response.Status, a.response.Header)
	if len(comments) == 0 {
		return nil
	}
	err := a.writer.Write(comments)
	if err != nil {
		return errors.WithStack(&writeError{cause: err})
	}
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
	if a.eventCount > 0 {
		a.pace.await(a.Clock.Now())
		defer a.pace.await(time.Time{})
	}
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

// recordEvent records that the event with the given identifier was relayed. It reports
// the start of the decode at the first event, and progress after every progressEvents
// events.
func (a *attempt) recordEvent(id int) {
	a.eventCount++
	if a.lastEventAt.Sub(a.begunAt) >= soundTime && a.eventCount > 1 {
		a.reportSound()
	}
	switch {
	case a.eventCount == 1:
		a.begunAt, a.firstID = a.lastEventAt, id
		a.recordFirst()
		a.report(sardineknot.JobDecodeStarted, a.decode.Name)
	case a.eventCount%progressEvents == 0:
		a.report(sardineknot.JobProgress, a.decode.Name)
		a.recordPace()
	}
}
