package twirp

import (
	"context"
	"strconv"
	"time"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/answers"
)

const (
	// copyTimeout bounds the wait for a copy to be kept.
	copyTimeout = 250 * time.Millisecond
	// copyRetention is the time for which a copy is kept.
	copyRetention = 10 * time.Minute
	// maxCopies bounds the copies of a shard.
	maxCopies = 1024
	// maxDeputies bounds the search for another host.
	maxDeputies = 8
)

// copied is a record of another host.
type copied struct {
	record sardineknot.AnswerRecord
	// at is the time at which it was kept.
	at time.Time
}

// copyAway has another host keep a copy of r if this host owns the shard s. A
// host that does not answer is passed over.
func (d *Directory) copyAway(ctx context.Context, s *slot, r sardineknot.AnswerRecord) {
	_, l, _ := s.view()
	o, ok := d.deputy(r.Key)
	if l == nil || !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	_, _ = d.client(o).Register(ctx, &rpc.RegisterRequest{Record: message(r), Copy: true})
}

// deputy returns the live host that keeps copies of the shard of k.
func (d *Directory) deputy(k sardineknot.RequestKey) (o sardineknot.EntryHost, ok bool) {
	for i := range maxDeputies {
		o, ok = d.Ranker.Owner(name(index(k)) + "/" + strconv.Itoa(i))
		if ok && o.ID != d.Members.Self().ID {
			return o, true
		}
	}
	return o, false
}

// keepCopy keeps r for the next owner of the shard.
func (s *slot) keepCopy(now time.Time, r sardineknot.AnswerRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copies == nil {
		s.copies = make(map[sardineknot.RequestKey]copied)
	}
	for k, c := range s.copies {
		if now.Sub(c.at) > copyRetention {
			delete(s.copies, k)
		}
	}
	if len(s.copies) < maxCopies {
		s.copies[r.Key] = copied{record: r, at: now}
	}
}

// dropCopy removes the copy of r and reports whether there was one.
func (s *slot) dropCopy(r sardineknot.AnswerRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.copies[r.Key]
	if !ok || !sameHost(c.record, r) {
		return false
	}
	delete(s.copies, r.Key)
	return true
}

// deadCopies returns the copies of records of dead hosts.
func (s *slot) deadCopies(dead func(sardineknot.EntryHostID, sardineknot.Incarnation) bool) []sardineknot.AnswerRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []sardineknot.AnswerRecord
	for _, c := range s.copies {
		if dead(c.record.Host, c.record.Incarnation) {
			l = append(l, c.record)
		}
	}
	return l
}
