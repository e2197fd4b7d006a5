package twirp

import (
	"context"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/directory"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// reregisterDelay is the delay before a failed registration with a new owner is
// retried.
const reregisterDelay = 100 * time.Millisecond

// updateOwner updates the owner of shard i from the current ranking. After a
// change of owner, the records of this host are registered again.
// newIncarnation reports whether the incarnation of this host has changed. If
// so, the records are registered again even if the owner is the same.
func (d *Directory) updateOwner(ctx context.Context, i int, newIncarnation bool) {
	o, ok := d.Ranker.Owner(shardName(i))
	s := &d.shards[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok == s.ok && o.ID == s.owner.ID && o.Incarnation == s.owner.Incarnation {
		s.owner = o
		if newIncarnation && len(s.own) > 0 {
			go d.reregister(ctx, s)
		}
		return
	}
	s.owner, s.ok = o, ok
	if s.local != nil {
		s.local.Close()
		s.local = nil
	}
	if ok && o.ID == d.Members.Self().ID {
		s.local = directory.NewShard(d.Clock, d.IsDead, d.SettlingTime)
	}
	if len(s.own)+len(s.replicas) > 0 {
		go d.reregister(ctx, s)
	}
}

// reregister registers the records of this host, and its replicas of records of
// dead hosts, with the current owner. It retries until all are registered, the
// shard moves again or ctx is done.
func (d *Directory) reregister(ctx context.Context, s *shardView) {
	o, _, _ := s.snapshot()
	l := append(s.ownRecords(), s.replicasOfDeadHosts(d.IsDead)...)
	for _, r := range l {
		for d.reregisterRecord(ctx, s, r) != nil {
			if (clock.System{}).Sleep(ctx, reregisterDelay) != nil {
				return
			}
			n, _, ok := s.snapshot()
			if !ok || n.ID != o.ID {
				return
			}
		}
	}
}

// reregisterRecord registers r again. If r is a record of this host and another
// host holds the current record, this host drops r and reports its key as
// displaced.
func (d *Directory) reregisterRecord(ctx context.Context, s *shardView, r sardineknot.AnswerRecord) error {
	w := r.Host == d.Members.Self().ID
	if w && !s.hasOwnRecord(r) {
		return nil
	}
	// A host that was declared dead must yield to a host that has taken over
	// its answer. Its registration under a new incarnation therefore waits
	// until the end of the settling time, so that the other host registers
	// first.
	t := !w || r.Incarnation == d.Members.Self().Incarnation
	if w {
		r.Incarnation = d.Members.Self().Incarnation
	}
	c, _, err := d.register(ctx, s, r, t)
	if err != nil {
		return err
	}
	if !w {
		s.deleteReplica(r)
		return nil
	}
	if sameHost(c, r) {
		s.storeOwnRecord(r)
		d.replicate(ctx, s, r)
		return nil
	}
	s.deleteOwnRecord(r.Key)
	if d.OnDisplaced != nil {
		d.OnDisplaced(r.Key)
	}
	return nil
}

func (s *shardView) snapshot() (o sardineknot.EntryHost, l *directory.Shard, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner, s.local, s.ok
}

func (s *shardView) ownRecords() []sardineknot.AnswerRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := make([]sardineknot.AnswerRecord, 0, len(s.own))
	for _, r := range s.own {
		l = append(l, r)
	}
	return l
}

// hasOwnRecord reports whether the record that this host has registered for the
// request of r names the same host and incarnation as r.
func (s *shardView) hasOwnRecord(r sardineknot.AnswerRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.own[r.Key]
	return ok && sameHost(o, r)
}

func (s *shardView) storeOwnRecord(r sardineknot.AnswerRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.own == nil {
		s.own = make(map[sardineknot.RequestKey]sardineknot.AnswerRecord)
	}
	s.own[r.Key] = r
}

func (s *shardView) deleteOwnRecord(k sardineknot.RequestKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.own, k)
}
