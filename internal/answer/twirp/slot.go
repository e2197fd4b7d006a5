package twirp

import (
	"context"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/directory"
)

// standingPause is the pause before a new owner is told again of a record.
const standingPause = 100 * time.Millisecond

// refresh takes in the owner of shard i. A new owner is told of the records of
// this host. renewed tells that the incarnation of this host has changed, so
// that the present owner has to be told as well.
func (d *Directory) refresh(ctx context.Context, i int, renewed bool) {
	o, ok := d.Ranker.Owner(name(i))
	s := &d.shards[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok == s.ok && o.ID == s.owner.ID && o.Incarnation == s.owner.Incarnation {
		s.owner = o
		if renewed && len(s.own) > 0 {
			go d.registerOwn(ctx, s)
		}
		return
	}
	s.owner, s.ok = o, ok
	if s.local != nil {
		s.local.Close()
		s.local = nil
	}
	if ok && o.ID == d.Members.Self().ID {
		s.local = directory.NewShard(d.Clock, d.Dead, d.Settle)
	}
	if len(s.own)+len(s.copies) > 0 {
		go d.registerOwn(ctx, s)
	}
}

// registerOwn registers the records of this host, and its copies of those of
// dead hosts, with the present owner, until it has them or the shard moves
// again, or ctx is done.
func (d *Directory) registerOwn(ctx context.Context, s *slot) {
	o, _, _ := s.view()
	l := append(s.records(), s.deadCopies(d.Dead)...)
	for _, r := range l {
		for d.registerStanding(ctx, s, r) != nil {
			select {
			case <-time.After(standingPause):
			case <-ctx.Done():
				return
			}
			n, _, ok := s.view()
			if !ok || n.ID != o.ID {
				return
			}
		}
	}
}

// registerStanding registers r. If it is of this host, but another has a
// record in force, that one goes on and this one stops.
func (d *Directory) registerStanding(ctx context.Context, s *slot, r sardineknot.AnswerRecord) error {
	w := r.Host == d.Members.Self().ID
	if w && !s.has(r) {
		return nil
	}
	// A host that counted as dead yields to one that took its answer over, so
	// it does not register before that one has.
	t := !w || r.Incarnation == d.Members.Self().Incarnation
	if w {
		r.Incarnation = d.Members.Self().Incarnation
	}
	c, _, err := d.register(ctx, s, r, t)
	if err != nil {
		return err
	}
	if !w {
		s.dropCopy(r)
		return nil
	}
	if sameHost(c, r) {
		s.keep(r)
		d.copyAway(ctx, s, r)
		return nil
	}
	s.drop(r.Key)
	if d.Displaced != nil {
		d.Displaced(r.Key)
	}
	return nil
}

func (s *slot) view() (o sardineknot.EntryHost, l *directory.Shard, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner, s.local, s.ok
}

func (s *slot) records() []sardineknot.AnswerRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := make([]sardineknot.AnswerRecord, 0, len(s.own))
	for _, r := range s.own {
		l = append(l, r)
	}
	return l
}

// has reports whether r is a record of this host under its present
// incarnation.
func (s *slot) has(r sardineknot.AnswerRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.own[r.Key]
	return ok && sameHost(o, r)
}

func (s *slot) keep(r sardineknot.AnswerRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.own == nil {
		s.own = make(map[sardineknot.RequestKey]sardineknot.AnswerRecord)
	}
	s.own[r.Key] = r
}

func (s *slot) drop(k sardineknot.RequestKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.own, k)
}
