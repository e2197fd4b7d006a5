package local_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/slots/local"
)

const settle = time.Second

// oneSlot is a scheduler with one slot, which it gives to a waiting job at a
// set time after the slot is free.
type oneSlot struct {
	pause   time.Duration
	holder  sardineknot.RequestKey
	waiting []sardineknot.RequestKey
	due     time.Time
}

func (*oneSlot) SetServers(time.Time, []sardineknot.BackendServer, []sardineknot.Link) []sardineknot.Decision {
	return nil
}

func (o *oneSlot) Submit(now time.Time, j sardineknot.Job) []sardineknot.Decision {
	o.waiting = append(o.waiting, j.Key)
	o.arm(now)
	return nil
}

func (o *oneSlot) Report(now time.Time, e sardineknot.JobEvent) []sardineknot.Decision {
	if e.Kind == sardineknot.JobCancelled && e.Key == o.holder {
		o.holder = sardineknot.RequestKey{}
		o.arm(now)
	}
	return nil
}

func (o *oneSlot) Adopt(_ time.Time, r sardineknot.RunningJob) []sardineknot.Decision {
	o.holder = r.Job.Key
	return nil
}

func (*oneSlot) Observe(time.Time, sardineknot.LoadReport) {}

func (o *oneSlot) Wake(time.Time) []sardineknot.Decision {
	o.due = time.Time{}
	if len(o.waiting) == 0 || o.holder != (sardineknot.RequestKey{}) {
		return nil
	}
	k := o.waiting[0]
	o.waiting = o.waiting[1:]
	o.holder = k
	return []sardineknot.Decision{
		{Key: k, Action: sardineknot.ActionPrefill, Server: "p"},
		{Key: k, Action: sardineknot.ActionDecode, Server: "d"},
	}
}

func (o *oneSlot) NextWake() time.Time { return o.due }

func (o *oneSlot) arm(now time.Time) {
	if o.holder == (sardineknot.RequestKey{}) && len(o.waiting) > 0 {
		o.due = now.Add(o.pause)
	}
}

func job(id string) sardineknot.Job {
	return sardineknot.Job{Key: sardineknot.RequestKey{Account: "a", ID: sardineknot.RequestID(id)}, Owner: "h", OwnerIncarnation: 7}
}

// report reports an event of a job from its holder.
func report(s *local.Shard, k sardineknot.JobEventKind, id string) {
	j := job(id)
	s.Report(j.Owner, sardineknot.JobEvent{Key: j.Key, Kind: k})
}

// acquired returns the time that the grant of a job took, in virtual time.
func acquired(t *testing.T, s *local.Shard, id string) time.Duration {
	t.Helper()
	n := time.Now()
	g, err := s.Acquire(t.Context(), job(id))
	is.New(t).NoErr(err)
	is.New(t).Equal(g, sardineknot.Grant{Prefill: "p", Decode: "d"})
	return time.Since(n)
}

// run runs f in virtual time with a shard of one slot.
func run(t *testing.T, name string, pause time.Duration, f func(*testing.T, *local.Shard)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := local.NewShard(clock.System{}, &oneSlot{pause: pause}, settle)
			defer s.Close()
			f(t, s)
		})
	})
}

func TestShard(t *testing.T) {
	run(t, "grants nothing before it has settled", 0, func(t *testing.T, s *local.Shard) {
		is.New(t).Equal(acquired(t, s, "1"), settle)
	})
	run(t, "wakes the scheduler when it is due", 5*time.Minute, func(t *testing.T, s *local.Shard) {
		is.New(t).Equal(acquired(t, s, "1"), settle+5*time.Minute)
	})
	run(t, "counts a job that was announced", 0, func(t *testing.T, s *local.Shard) {
		s.Adopt(sardineknot.RunningJob{Job: job("0"), Grant: sardineknot.Grant{Prefill: "p", Decode: "d"}})
		time.AfterFunc(time.Minute, func() { report(s, sardineknot.JobCancelled, "0") })
		is.New(t).Equal(acquired(t, s, "1"), time.Minute)
	})
	run(t, "repeats the grant of a known job", 0, func(t *testing.T, s *local.Shard) {
		acquired(t, s, "1")
		is.New(t).Equal(acquired(t, s, "1"), time.Duration(0))
	})
	run(t, "does not start a job that has ended", 0, func(t *testing.T, s *local.Shard) {
		report(s, sardineknot.JobCancelled, "1")
		_, err := s.Acquire(t.Context(), job("1"))
		var n *sardineknot.NotRunError
		is.New(t).True(errors.As(err, &n))
	})
	run(t, "ends waits when it moves", 0, func(t *testing.T, s *local.Shard) {
		time.AfterFunc(settle/2, s.Close)
		_, err := s.Acquire(context.Background(), job("1"))
		var u *sardineknot.UnavailableError
		is.New(t).True(errors.As(err, &u))
	})
}

func TestAdoptedJob(t *testing.T) {
	j := job("1")
	j.Owner = "other"
	run(t, "does not end by a report of its earlier holder", 0, func(t *testing.T, s *local.Shard) {
		acquired(t, s, "1")
		s.Adopt(sardineknot.RunningJob{Job: j, TakenOver: true})
		report(s, sardineknot.JobCancelled, "1")
		r, e := s.Known(j.Key)
		is.New(t).True(r && !e)
	})
	run(t, "is not given back by an announcement of its earlier holder", 0, func(t *testing.T, s *local.Shard) {
		acquired(t, s, "1")
		s.Adopt(sardineknot.RunningJob{Job: j, TakenOver: true})
		s.Adopt(sardineknot.RunningJob{Job: job("1")})
		report(s, sardineknot.JobCancelled, "1")
		r, e := s.Known(j.Key)
		is.New(t).True(r && !e)
	})
	run(t, "runs although its earlier holder has reported its end", 0, func(t *testing.T, s *local.Shard) {
		acquired(t, s, "1")
		report(s, sardineknot.JobCancelled, "1")
		s.Adopt(sardineknot.RunningJob{Job: j, TakenOver: true})
		r, e := s.Known(j.Key)
		is.New(t).True(r && !e)
	})
	run(t, "is not announced again after its end", 0, func(t *testing.T, s *local.Shard) {
		report(s, sardineknot.JobCancelled, "1")
		s.Adopt(sardineknot.RunningJob{Job: job("1")})
		r, e := s.Known(j.Key)
		is.New(t).True(!r && e)
	})
}

func TestDropDead(t *testing.T) {
	const grace = 10 * time.Second
	dead := func(h sardineknot.EntryHostID, _ sardineknot.Incarnation) bool { return h == "h" }
	run(t, "frees the slots of a dead host after the grace", 0, func(t *testing.T, s *local.Shard) {
		acquired(t, s, "1")
		s.DropDead(dead, grace)
		r, _ := s.Known(job("1").Key)
		is.New(t).True(r)
		time.Sleep(grace)
		s.DropDead(dead, grace)
		is.New(t).Equal(acquired(t, s, "2"), time.Duration(0))
	})
	run(t, "keeps a job that another host adopted", 0, func(t *testing.T, s *local.Shard) {
		acquired(t, s, "1")
		s.DropDead(dead, grace)
		j := job("1")
		j.Owner = "other"
		s.Adopt(sardineknot.RunningJob{Job: j, TakenOver: true})
		time.Sleep(grace)
		s.DropDead(dead, grace)
		r, _ := s.Known(j.Key)
		is.New(t).True(r)
	})
}
