package events

import (
	"sync"
	"time"
)

// writeParts bounds the time in which the caller takes events: from a block of which it takes more
// than 1/writeParts, the pace of the engine does not follow.
const writeParts = 4

// pace observes the pace at which an engine sends the events of one attempt.
type pace struct {
	// count is the number of events, readAt the time at which the last one was read, and
	// written the time for which the caller took events, at the begin of the block that is observed.
	count   int
	readAt  time.Time
	written time.Duration

	mu sync.Mutex
	// awaitedSince is the time since which the next event is awaited, or zero.
	awaitedSince time.Time
}

// await records that an event is awaited from the time now on. The zero time means that none is.
func (p *pace) await(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.awaitedSince = now
}

// silence returns the time for which the next event has been awaited at the time now.
func (p *pace) silence(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.awaitedSince.IsZero() {
		return 0
	}
	return now.Sub(p.awaitedSince)
}

// recordFirst records the time that the decode engine took for the first event, which was read
// just now.
func (a *attempt) recordFirst() {
	n := a.readAt
	a.Paces.RecordFirst(n, a.job.Pool, n.Sub(a.sentAt))
	a.unfollow = a.Paces.Follow(n, a.job.Pool, a.decode.Name, a.pace.silence)
	a.pace.count, a.pace.readAt, a.pace.written = a.eventCount, n, a.written
}

// recordPace records the time that the decode engine took for each event of a block that has ended.
func (a *attempt) recordPace() {
	n := a.eventCount - a.pace.count
	d := a.readAt.Sub(a.pace.readAt)
	if n > 0 && a.written-a.pace.written <= d/writeParts {
		a.Paces.RecordPace(a.readAt, a.job.Pool, a.decode.Name, d/time.Duration(n))
	}
	a.pace.count, a.pace.readAt, a.pace.written = a.eventCount, a.readAt, a.written
}

// recordShortPace records the pace of a stream that has ended and is shorter than a block. Its
// events may have come together, so that the time until the first one counts as well.
func (a *attempt) recordShortPace() {
	if a.eventCount >= progressEvents || a.eventCount == 0 || a.written > a.readAt.Sub(a.sentAt)/writeParts {
		return
	}
	a.Paces.RecordPace(a.readAt, a.job.Pool, a.decode.Name, a.readAt.Sub(a.sentAt)/time.Duration(a.eventCount))
}
