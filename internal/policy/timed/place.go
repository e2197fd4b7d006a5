package timed

import (
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// typicalZones is the initial capacity of the list in which choose caches
	// one path for each zone. Regions rarely have more zones; the list grows if
	// they do.
	typicalZones = 6
	// loadPenalty is the penalty for a decode engine whose slots are all in
	// use. A part of it in proportion to the slots in use is added to the
	// transfer time, because answers are slower on loaded engines.
	loadPenalty = 20 * time.Millisecond
)

// path is the best way to transfer a KV cache from a zone to a decode engine.
type path struct {
	from sardineknot.AvailabilityZone
	// decode is the chosen engine, or nil if no eligible engine has room for
	// the job. An engine is eligible if it is usable, generates tokens fast
	// enough for the job, and can receive the KV cache before the prefill
	// engine discards the cache.
	//
	// transfer is the predicted time to transfer the KV cache to decode. If
	// decode is nil, transfer is the mean of the predicted times to the
	// eligible engines. If no engine is eligible either, transfer is
	// ResultLifetime, the time for which prefill engines keep a KV cache.
	decode   *engine
	transfer time.Duration
}

// path returns the best path of j from the given zone. It searches known for
// the path first. If the path is missing there, path computes it and appends it
// to the returned list.
func (s *Scheduler) path(now time.Time, j *job, from sardineknot.AvailabilityZone, known []path) (path, []path) {
	for _, p := range known {
		if p.from == from {
			return p, known
		}
	}
	p := s.findPath(now, j, from)
	return p, append(known, p)
}

// findPath computes the best path of j from the given zone.
func (s *Scheduler) findPath(now time.Time, j *job, from sardineknot.AvailabilityZone) path {
	p := path{from: from}
	var b, l time.Duration
	var n int
	m := s.transferWindow(now, j)
	for _, e := range s.decode {
		if !e.usable(now) || e.tooSlow(j) {
			continue
		}
		t, ok := s.links.Predict(now, from, e.server.Zone, j.cacheBytes)
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
		p.transfer = s.ResultLifetime
	}
	return p
}

// transferWindow returns the time that the transfer of j's KV cache may take.
func (s *Scheduler) transferWindow(now time.Time, j *job) time.Duration {
	if j.state == ready {
		return j.resultExpiry.Sub(now)
	}
	return s.ResultLifetime - transferMargin
}

// reserveSlot reserves a slot and memory on e for j.
func (s *Scheduler) reserveSlot(j *job, e *engine) {
	j.decode = e
	e.add(j, decodeSide)
	e.memoryPieces += j.memoryPieces
}

// releaseSlot frees the slot and memory of j, if it has any.
func (s *Scheduler) releaseSlot(j *job) {
	e := j.decode
	if e == nil {
		return
	}
	j.decode = nil
	e.remove(j, decodeSide)
	e.memoryPieces -= j.memoryPieces
}

// assignSlots reserves free slots for the pending jobs, in their order, and
// starts the decode of those that are ready.
func (s *Scheduler) assignSlots(now time.Time) {
	l := s.pending[:0]
	for _, j := range s.pending {
		if j.state == ready && now.After(j.resultExpiry) {
			s.refuseExpired(now, j)
			continue
		}
		p := s.findPath(now, j, j.prefillZone)
		if p.decode == nil {
			l = append(l, j)
			continue
		}
		s.reserveSlot(j, p.decode)
		if j.state == ready {
			s.startDecode(now, j)
		}
	}
	clear(s.pending[len(l):])
	s.pending = l
}

// refuseExpired refuses a job whose KV cache has expired on the prefill engine.
func (s *Scheduler) refuseExpired(now time.Time, j *job) {
	t := s.retryAfter(now, 0)
	s.releaseResources(now, j)
	s.refuse(j, "no slot became free in time", t)
}

func (s *Scheduler) startDecode(now time.Time, j *job) {
	e := j.decode
	j.state = importing
	j.stateStart = now
	j.predictedTransfer, _ = s.links.Predict(now, j.prefillZone, e.server.Zone, j.cacheBytes)
	j.expectedEnd = now.Add(j.predictedTransfer + seconds(s.tokenInterval))
	s.links.Begin(now, j.Key, j.prefillZone, e.server.Zone, j.cacheBytes, j.resultExpiry)
	e.breaker.Begin(now)
	s.decide(j, sardineknot.ActionDecode, e)
}
