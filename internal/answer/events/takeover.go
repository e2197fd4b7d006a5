package events

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// headerTimeout is the time without a response header after which another
	// engine is prepared for a resumable stream.
	headerTimeout = 1200 * time.Millisecond
	// silenceTimeout is the time without an event after which another engine is
	// prepared for a resumable stream. An engine that runs out of memory causes
	// such silence: it suspends one answer and later recomputes it, while its
	// other answers pause.
	silenceTimeout = 600 * time.Millisecond
	// maxOverlap is the longest time for which the silent engine and the one
	// that is to replace it may both work on a stream.
	maxOverlap = 300 * time.Millisecond
)

// errSilent is the cancellation cause of an attempt whose engine was silent
// until another engine continued its stream.
var errSilent = errors.New("the engine is silent")

// errSuperseded is the cancellation cause of a takeover that is not needed,
// because the silent engine went on or the call has ended.
var errSuperseded = errors.New("the stream goes on elsewhere")

// takeover prepares another engine for the stream of a silent one. The silent
// engine is left only when the other one has sent an event: if the takeover
// fails at any step before that, the stream stays where it is, because a late
// answer is better than none.
type takeover struct {
	// from is the attempt whose engine is silent, and to the attempt on the
	// other engine.
	from, to *attempt
	// done is closed when the takeover has succeeded or failed.
	done chan struct{}
	// accepted reports whether the stream continues with to. overlap ends the
	// takeover after maxOverlap. The fields below are guarded by the mutex of
	// the session.
	accepted bool
	overlap  *time.Timer
	// extended is set once the silent engine has failed and the other one got
	// more time.
	extended bool
}

// watchSilence starts a takeover if nothing is relayed for limit. It replaces an
// earlier watch of the attempt. Streams that may not be resumed are not watched.
func (a *attempt) watchSilence(limit time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchSilenceLocked(limit)
}

func (a *attempt) watchSilenceLocked(limit time.Duration) {
	if !a.call.Route.Resumable {
		return
	}
	a.watched = true
	if a.silence == nil {
		a.silence = time.AfterFunc(limit, a.takeOver)
		return
	}
	a.silence.Reset(limit)
}

// takeOver makes one takeover. If it fails while the engine is still silent,
// another one follows after a delay that doubles each time.
func (a *attempt) takeOver() {
	t := a.newTakeover()
	if t == nil {
		return
	}
	defer close(t.done)
	err := t.to.openStream()
	if err == nil && t.accept() {
		a.stop(errSilent)
		return
	}
	t.to.discard(err)
	if t.withdraw() {
		a.Log.Info().Stringer("event", sardineknot.LogSilentStreamStays).Str("request", string(a.call.ID)).Str("server", string(a.decode.Name)).Err(err).Send()
	}
}

// newTakeover returns a takeover of the stream of a, or nil if a has ended, an
// event has just arrived, a takeover is in progress, the route allows no other
// engine or none could go on after the last event.
func (a *attempt) newTakeover() *takeover {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.executions
	if !a.executed {
		// The silent engine may run the call although it owes its header.
		n++
	}
	if a.ended || !a.watched || a.unnumbered || a.takeover != nil || n >= a.call.Route.Attempts || a.takeovers >= maxTakeovers {
		return nil
	}
	a.takeovers++
	t := &takeover{from: a, to: a.newAttemptLocked(), done: make(chan struct{})}
	t.to.replacing = t
	a.takeover = t
	return t
}

// limitOverlap limits the time from now to the first event of the other engine,
// which begins to work on the stream.
func (t *takeover) limitOverlap() {
	t.from.mu.Lock()
	defer t.from.mu.Unlock()
	t.overlap = time.AfterFunc(maxOverlap, t.expire)
}

// expire gives the other engine up, unless it has continued the stream. If the
// silent engine has failed meanwhile, the other one has as much time as any
// engine to send its header.
func (t *takeover) expire() {
	t.from.mu.Lock()
	defer t.from.mu.Unlock()
	switch {
	case t.accepted:
	case t.from.ended && !t.extended:
		t.extended = true
		t.overlap.Reset(headerTimeout)
	default:
		t.to.stop(errSilent)
	}
}

// accept makes the other engine the one that continues the stream, and reports
// whether it did. It does not if the silent engine has gone on meanwhile, or if
// the other one was given up as its event arrived.
func (t *takeover) accept() bool {
	t.from.mu.Lock()
	defer t.from.mu.Unlock()
	t.accepted = t.from.takeover == t && t.to.ctx.Err() == nil
	return t.accepted
}

// withdraw removes a failed takeover from its session, and reports whether the
// stream still waits for its silent engine. If so, another takeover follows.
func (t *takeover) withdraw() bool {
	a := t.from
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.takeover != t {
		return false
	}
	a.takeover = nil
	if a.ended {
		return false
	}
	a.takeoverDelay = max(silenceTimeout, 2*a.takeoverDelay)
	a.watchSilenceLocked(a.takeoverDelay)
	return true
}

// finishTakeover waits for the takeover in progress, if any, and returns the
// attempt that continues the stream. It returns nil if there is none.
func (s *session) finishTakeover() *attempt {
	s.mu.Lock()
	t := s.takeover
	s.mu.Unlock()
	if t == nil {
		return nil
	}
	<-t.done
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takeover = nil
	if !t.accepted {
		return nil
	}
	return t.to
}

// dropTakeover cancels the takeover in progress, if any, once the call has
// ended.
func (s *session) dropTakeover() {
	s.mu.Lock()
	t := s.takeover
	s.takeover = nil
	k := t != nil && t.accepted
	s.mu.Unlock()
	if t != nil {
		t.to.stop(errSuperseded)
	}
	if k {
		t.to.discard(nil)
	}
}

// claimEvent reports whether the attempt may relay the event e, and counts it as
// relayed. It may unless another engine has taken
// the stream over. A takeover in progress is cancelled, and the watch for silence
// pauses until the next event is awaited.
func (a *attempt) claimEvent(e *event) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silence != nil {
		a.silence.Stop()
	}
	a.watched = false
	if t := a.takeover; t != nil && t.from == a {
		if t.accepted {
			return false
		}
		a.takeover = nil
		t.to.stop(errSuperseded)
	}
	a.relayedEvents++
	a.version = a.decode.SoftwareVersion
	a.recordNumber(e)
	return true
}

// claimEnd reports whether the attempt may end the answer at the end of its stream. It
// may unless another engine has taken the stream over, which has a further event.
func (a *attempt) claimEnd() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.takeover
	return t == nil || t.from != a || !t.accepted
}

// discard ends an attempt that does not continue the stream. err is the error
// with which it failed, or nil if its stream is open.
func (a *attempt) discard(err error) {
	if err == nil {
		a.response.Body.Close()
		a.report(sardineknot.JobCancelled, "")
	}
	a.stop(errSuperseded)
}

// superseded reports whether the attempt was cancelled because the stream goes
// on elsewhere or its caller has disconnected.
func (a *attempt) superseded() bool {
	return errors.Is(a.session.ctx.Err(), context.Canceled) || errors.Is(context.Cause(a.ctx), errSuperseded)
}
