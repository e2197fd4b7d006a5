package timed

import (
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// maxZones is the usual bound of the number of zones in a region.
	maxZones = 6
	// loadPenalty is the transfer time that a wholly full engine is worth, as
	// answers on it are slower.
	loadPenalty = 20 * time.Millisecond
)

// path is the best way from a zone to a decode engine.
type path struct {
	from sardineknot.AvailabilityZone
	// decode is nil if no slot is free. transfer is then a mean.
	decode   *engine
	transfer time.Duration
}

// path returns the best path of j from zone from. It looks it up in known and
// adds it there.
func (s *Scheduler) path(now time.Time, j *job, from sardineknot.AvailabilityZone, known []path) (path, []path) {
	for _, p := range known {
		if p.from == from {
			return p, known
		}
	}
	p := s.findPath(now, j, from)
	return p, append(known, p)
}

func (s *Scheduler) findPath(now time.Time, j *job, from sardineknot.AvailabilityZone) path {
	p := path{from: from}
	var b, l time.Duration
	var n int
	m := s.window(now, j)
	for _, e := range s.decode {
		if !e.usable(now) || e.slow(j) {
			continue
		}
		t, ok := s.links.Predict(now, from, e.server.Zone, j.bytes)
		if t > m || !ok {
			continue
		}
		n++
		l += t
		w := t + loadPenalty*time.Duration(len(e.jobs))/time.Duration(max(1, e.server.Slots))
		if e.fits(j) && (p.decode == nil || w < b) {
			p.decode, p.transfer, b = e, t, w
		}
	}
	if p.decode == nil && n > 0 {
		p.transfer = l / time.Duration(n)
	}
	if n == 0 {
		p.transfer = s.Life
	}
	return p
}

// window returns the time that the transfer of j may take.
func (s *Scheduler) window(now time.Time, j *job) time.Duration {
	if j.state == ready {
		return j.expiry.Sub(now)
	}
	return s.Life - guard
}

// reserve takes a slot of e for j.
func (s *Scheduler) reserve(j *job, e *engine) {
	j.decode = e
	e.add(j, 1)
	e.pieces += j.pieces
}

func (s *Scheduler) unreserve(j *job) {
	e := j.decode
	if e == nil {
		return
	}
	j.decode = nil
	e.remove(j, 1)
	e.pieces -= j.pieces
}

// place gives free slots to the jobs that have none, those first whose
// prefills end first.
func (s *Scheduler) place(now time.Time) {
	l := s.pending[:0]
	for _, j := range s.pending {
		if j.state == ready && now.After(j.expiry) {
			s.drop(now, j)
			continue
		}
		p := s.findPath(now, j, j.from)
		if p.decode == nil {
			l = append(l, j)
			continue
		}
		s.reserve(j, p.decode)
		if j.state == ready {
			s.startDecode(now, j)
		}
	}
	clear(s.pending[len(l):])
	s.pending = l
}

// drop refuses a job whose prefill result has lapsed.
func (s *Scheduler) drop(now time.Time, j *job) {
	t := s.comeBack(now, 0)
	s.end(now, j)
	s.refuse(j, "no slot became free in time", t)
}

func (s *Scheduler) startDecode(now time.Time, j *job) {
	e := j.decode
	j.state = importing
	j.began = now
	j.predicted, _ = s.links.Predict(now, j.from, e.server.Zone, j.bytes)
	j.due = now.Add(j.predicted + seconds(s.interval))
	s.links.Begin(now, j.Key, j.from, e.server.Zone, j.bytes, j.expiry)
	e.breaker.Begin(now)
	s.decide(j, sardineknot.ActionDecode, e)
}
