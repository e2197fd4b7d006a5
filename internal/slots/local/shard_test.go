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

// oneSlot is a fake scheduler with a single slot. When a job is submitted or
// ends while the slot is free, the scheduler waits for pause and then grants
// the slot to the first waiting job.
type oneSlot struct {
	pause   time.Duration
	holder  sardineknot.RequestKey
	waiting []sardineknot.RequestKey
	due     time.Time
}

func (*oneSlot) SetServers(time.Time, []sardineknot.BackendServer, []sardineknot.Link) []sardineknot.Decision {
	return nil
}

func (o *oneSlot) Submit(now time.Time, job sardineknot.Job) []sardineknot.Decision {
	o.waiting = append(o.waiting, job.Key)
	o.scheduleWake(now)
	return nil
}

func (o *oneSlot) Report(now time.Time, event sardineknot.JobEvent) []sardineknot.Decision {
	if event.Kind == sardineknot.JobCancelled && event.Key == o.holder {
		o.holder = sardineknot.RequestKey{}
		o.scheduleWake(now)
	}
	return nil
}

func (o *oneSlot) Adopt(_ time.Time, running sardineknot.RunningJob) []sardineknot.Decision {
	o.holder = running.Job.Key
	return nil
}

func (*oneSlot) ObserveLoad(time.Time, sardineknot.LoadReport) {}

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

func (o *oneSlot) scheduleWake(now time.Time) {
	if o.holder == (sardineknot.RequestKey{}) && len(o.waiting) > 0 {
		o.due = now.Add(o.pause)
	}
}

func job(id string) sardineknot.Job {
	return sardineknot.Job{Key: sardineknot.RequestKey{Account: "a", ID: sardineknot.RequestID(id)}, Owner: "h", OwnerIncarnation: 7}
}

// report reports an event of a job from its holder.
func report(shard *local.Shard, kind sardineknot.JobEventKind, id string) {
	j := job(id)
	shard.Report(j.Owner, sardineknot.JobEvent{Key: j.Key, Kind: kind})
}

// acquire requests a grant for a job, checks the grant, and returns the virtual
// time that the request took.
func acquire(t *testing.T, shard *local.Shard, id string) time.Duration {
	t.Helper()
	n := time.Now()
	g, err := shard.Acquire(t.Context(), job(id))
	is.New(t).NoErr(err)
	is.New(t).Equal(g, sardineknot.Grant{PrefillEngine: "p", DecodeEngine: "d"})
	return time.Since(n)
}

// run runs test as a subtest, in virtual time and with a shard whose scheduler
// is a oneSlot with the given pause.
func run(t *testing.T, name string, pause time.Duration, test func(*testing.T, *local.Shard)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := local.NewShard(clock.System{}, &oneSlot{pause: pause}, settle)
			defer s.Close()
			test(t, s)
		})
	})
}

func TestShard(t *testing.T) {
	run(t, "grants nothing during the settling time", 0, func(t *testing.T, shard *local.Shard) {
		is.New(t).Equal(acquire(t, shard, "1"), settle)
	})
	run(t, "wakes the scheduler at its NextWake", 5*time.Minute, func(t *testing.T, shard *local.Shard) {
		is.New(t).Equal(acquire(t, shard, "1"), settle+5*time.Minute)
	})
	run(t, "keeps the slot of an announced job occupied", 0, func(t *testing.T, shard *local.Shard) {
		shard.Adopt(sardineknot.RunningJob{Job: job("0"), Grant: sardineknot.Grant{PrefillEngine: "p", DecodeEngine: "d"}})
		time.AfterFunc(time.Minute, func() { report(shard, sardineknot.JobCancelled, "0") })
		is.New(t).Equal(acquire(t, shard, "1"), time.Minute)
	})
	run(t, "repeats the grant of a known job", 0, func(t *testing.T, shard *local.Shard) {
		acquire(t, shard, "1")
		is.New(t).Equal(acquire(t, shard, "1"), time.Duration(0))
	})
	run(t, "does not start a job that has ended", 0, func(t *testing.T, shard *local.Shard) {
		report(shard, sardineknot.JobCancelled, "1")
		_, err := shard.Acquire(t.Context(), job("1"))
		var n *sardineknot.NotRunError
		is.New(t).True(errors.As(err, &n))
	})
	run(t, "fails waiting requests when it is closed", 0, func(t *testing.T, shard *local.Shard) {
		time.AfterFunc(settle/2, shard.Close)
		_, err := shard.Acquire(context.Background(), job("1"))
		var u *sardineknot.UnavailableError
		is.New(t).True(errors.As(err, &u))
	})
}

func TestAdoptedJob(t *testing.T) {
	j := job("1")
	j.Owner = "other"
	run(t, "is not ended by a report of its previous holder", 0, func(t *testing.T, shard *local.Shard) {
		acquire(t, shard, "1")
		shard.Adopt(sardineknot.RunningJob{Job: j, TakenOver: true})
		report(shard, sardineknot.JobCancelled, "1")
		r, e := shard.JobStatus(j.Key)
		is.New(t).True(r && !e)
	})
	run(t, "is not returned to its previous holder by an announcement", 0, func(t *testing.T, shard *local.Shard) {
		acquire(t, shard, "1")
		shard.Adopt(sardineknot.RunningJob{Job: j, TakenOver: true})
		shard.Adopt(sardineknot.RunningJob{Job: job("1")})
		report(shard, sardineknot.JobCancelled, "1")
		r, e := shard.JobStatus(j.Key)
		is.New(t).True(r && !e)
	})
	run(t, "is running although its previous holder reported its end", 0, func(t *testing.T, shard *local.Shard) {
		acquire(t, shard, "1")
		report(shard, sardineknot.JobCancelled, "1")
		shard.Adopt(sardineknot.RunningJob{Job: j, TakenOver: true})
		r, e := shard.JobStatus(j.Key)
		is.New(t).True(r && !e)
	})
	run(t, "is not adopted again after its holder reported its end", 0, func(t *testing.T, shard *local.Shard) {
		report(shard, sardineknot.JobCancelled, "1")
		shard.Adopt(sardineknot.RunningJob{Job: job("1")})
		r, e := shard.JobStatus(j.Key)
		is.New(t).True(!r && e)
	})
}

func TestCancelOrphanedJobs(t *testing.T) {
	const grace = 10 * time.Second
	dead := func(host sardineknot.EntryHostID, _ sardineknot.Incarnation) bool { return host == "h" }
	run(t, "frees the slots of a dead host after the grace period", 0, func(t *testing.T, shard *local.Shard) {
		acquire(t, shard, "1")
		shard.CancelOrphanedJobs(dead, grace)
		r, _ := shard.JobStatus(job("1").Key)
		is.New(t).True(r)
		time.Sleep(grace)
		shard.CancelOrphanedJobs(dead, grace)
		is.New(t).Equal(acquire(t, shard, "2"), time.Duration(0))
	})
	run(t, "keeps a job that another host has taken over", 0, func(t *testing.T, shard *local.Shard) {
		acquire(t, shard, "1")
		shard.CancelOrphanedJobs(dead, grace)
		j := job("1")
		j.Owner = "other"
		shard.Adopt(sardineknot.RunningJob{Job: j, TakenOver: true})
		time.Sleep(grace)
		shard.CancelOrphanedJobs(dead, grace)
		r, _ := shard.JobStatus(j.Key)
		is.New(t).True(r)
	})
}
