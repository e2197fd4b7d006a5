package memory

import (
	"cmp"
	"slices"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// fill is the share of an engine's memory that forecasts and the reserve may
	// fill. The rest is for what the owner learns late.
	fill = 0.96
	// doubt is the part by which the rest of an answer may be longer than
	// forecast, as far as the reserve goes. It is somewhat more than the standard
	// deviation.
	doubt = 0.5
	// overrunShare is the part of its present length by which an answer is
	// expected to go on that is far longer than was forecast.
	overrunShare = 0.1
	// maxPrefillSample and maxPrefillPerToken bound the prefills from which
	// the time for each token is learned.
	maxPrefillSample   = time.Second
	maxPrefillPerToken = 200 * time.Microsecond
	// firstEventTime is kept between the end of a prefill and the latency
	// target of the first event, for the transfer and the first tokens.
	firstEventTime = 120 * time.Millisecond
	// resumedWait is the time for which a caller waits whose answer broke off.
	// It has tried again already and does not come back.
	resumedWait = 3 * time.Second
	// lookInterval is the time between two looks at a job that waits.
	lookInterval = 25 * time.Millisecond
	// crossZone is the waiting time that a transfer within a zone is worth.
	crossZone = 30 * time.Millisecond
	// maxAhead is the prefill work that may wait on an engine.
	maxAhead = 250 * time.Millisecond
)

// order returns the queue in the order of service: jobs whose first event can
// be in time before the others, and by arrival among these.
func (s *Scheduler) order(now time.Time) []*job {
	l := slices.Clone(s.queue)
	slices.SortStableFunc(l, func(a, b *job) int {
		if x, y := a.late(now), b.late(now); x != y {
			if y {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.arrived.Compare(b.arrived))
	})
	return l
}

// late reports whether the first event of j would come after its target if j
// began now. For a caller that was refused before, or whose answer broke off, it
// does in any case.
func (j *job) late(now time.Time) bool {
	return j.returned || j.Resumed || now.Add(j.cost+firstEventTime).After(j.Deadline)
}

// latestStart returns the time until which j may wait.
func (j *job) latestStart() time.Time {
	if j.Resumed {
		return later(j.arrived.Add(resumedWait), j.Deadline.Add(-j.cost-firstEventTime))
	}
	return j.Deadline.Add(-j.cost - firstEventTime)
}

// hopeless reports whether j, which waits, is to be refused.
func (s *Scheduler) hopeless(now time.Time, j *job) bool {
	return !now.Before(j.latestStart())
}

// place starts j if there is room for it.
func (s *Scheduler) place(now time.Time, j *job) bool {
	d := s.chooseDecode(now, j)
	if d == nil {
		return false
	}
	p, ok := s.choosePrefill(now, j, d)
	if !ok {
		return false
	}
	s.start(now, j, p, d)
	return true
}

// chooseDecode returns the engine whose memory is least filled by j, or nil if
// j fits nowhere.
func (s *Scheduler) chooseDecode(now time.Time, j *job) *engine {
	var b *engine
	var m float64
	for _, e := range s.decode {
		f, ok := e.filled(now, j)
		if !ok {
			continue
		}
		if b == nil || f < m {
			b, m = e, f
		}
	}
	return b
}

// filled returns the share of the memory of e that is expected to be needed with
// j. ok is false if j does not fit.
func (e *engine) filled(now time.Time, j *job) (f float64, ok bool) {
	if !e.usable(now) || len(e.decoding) >= e.server.Slots {
		return 0, false
	}
	c := e.capacity()
	p := e.peak(now, j.span(now))
	if c > 0 && p > c && len(e.decoding) > 0 {
		return 0, false
	}
	return p / max(1, c), true
}

// choosePrefill returns the engine that reads the prompt of j. If all prefill
// engines have much to do, d itself reads a short prompt, one at a time, since its
// answers pause for that long. It also does if it is not known to work, so that
// no other engine reads in vain. ok is false if j has to wait.
func (s *Scheduler) choosePrefill(now time.Time, j *job, d *engine) (e *engine, ok bool) {
	o := j.PromptTokens <= sardineknot.MaxSelfRead && len(d.reading) == 0
	if o && d.probed() {
		return d, true
	}
	e = s.nextReader(now, j, d)
	if e == nil && o {
		return d, true
	}
	return e, e != nil
}

// nextReader returns the prefill engine that still has the prompt of j, or that
// ends it first. It returns nil if all have much to do.
func (s *Scheduler) nextReader(now time.Time, j *job, d *engine) *engine {
	var e *engine
	var m time.Duration
	for _, p := range s.prefill {
		w := max(0, p.busy.Sub(now))
		if !p.usable(now) || w > maxAhead {
			continue
		}
		if p.server.Name == j.Kept {
			return p
		}
		w += time.Duration(lostCost * p.lost.value * float64(j.cost))
		if p.server.Zone != d.server.Zone {
			w += crossZone
		}
		if e == nil || w < m {
			e, m = p, w
		}
	}
	return e
}

// start sends j to its engines.
func (s *Scheduler) start(now time.Time, j *job, p, d *engine) {
	j.prefill, j.reader, j.decode = p, p, d
	j.started = now
	p.reading = append(p.reading, j)
	p.busy = later(p.busy, now).Add(j.cost)
	d.decoding = append(d.decoding, j)
	d.changed()
	// The grant is read at the prefill decision and should name both engines.
	s.decide(j, sardineknot.ActionDecode, d)
	s.decide(j, sardineknot.ActionPrefill, p)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *Scheduler) decide(j *job, a sardineknot.Action, e *engine) {
	s.decisions = append(s.decisions, sardineknot.Decision{Key: j.Key, Action: a, Server: e.server.Name})
}

// refuse ends j as not run.
func (s *Scheduler) refuse(now time.Time, j *job) {
	delete(s.jobs, j.Key)
	s.refusals.note(now, j)
	s.decisions = append(s.decisions, sardineknot.Decision{
		Key:        j.Key,
		Action:     sardineknot.ActionRefuse,
		Reason:     "no engine has room in time",
		RetryAfter: s.refusals.next(now),
	})
}
