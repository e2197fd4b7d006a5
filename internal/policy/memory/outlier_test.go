package memory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/memory"
)

// jobEnd is the way in which the jobs of an engine end.
type jobEnd struct {
	name string
	// begins is set if there is a first event, and kind is the event at the end.
	begins bool
	kind   sardineknot.JobEventKind
	after  time.Duration
}

// brokenEnds are the ends of the jobs of an engine whose answers are all broken.
var brokenEnds = []jobEnd{
	{"broken off after an event", true, sardineknot.JobFailed, 300 * time.Millisecond},
	{"silent after an event until the caller leaves", true, sardineknot.JobCancelled, 900 * time.Millisecond},
	{"without an event until the caller leaves", false, sardineknot.JobCancelled, 900 * time.Millisecond},
}

// outlierRun submits jobs in virtual time. Jobs on the engines in broken end as end says, and
// all others end well after 200 ms.
type outlierRun struct {
	scheduler *memory.Scheduler
	now       time.Time
	broken    map[sardineknot.BackendServerName]bool
	end       jobEnd
	// random decides which of the jobs on broken engines end well: those above rate. Nil
	// means none.
	random *rand.Rand
	rate   float64
	due    []dueEvent
}

// dueEvent is an event that is reported at a time.
type dueEvent struct {
	at    time.Time
	event sardineknot.JobEvent
}

func newOutlierRun(decodes int, end jobEnd, broken ...sardineknot.BackendServerName) *outlierRun {
	r := &outlierRun{scheduler: newScheduler(decodes), now: start, end: end, broken: make(map[sardineknot.BackendServerName]bool)}
	for _, b := range broken {
		r.broken[b] = true
	}
	return r
}

// run submits a job each interval for the given time, and returns the number of jobs by
// decode engine, which is empty for jobs without one.
func (r *outlierRun) run(total, interval time.Duration) map[sardineknot.BackendServerName]int {
	m := make(map[sardineknot.BackendServerName]int)
	for e := r.now.Add(total); r.now.Before(e); r.now = r.now.Add(10 * time.Millisecond) {
		r.deliver()
		if r.now.Sub(start)%interval == 0 {
			m[r.submit()]++
		}
	}
	return m
}

// deliver reports the events that are due.
func (r *outlierRun) deliver() {
	var l []dueEvent
	for _, d := range r.due {
		if d.at.After(r.now) {
			l = append(l, d)
			continue
		}
		r.scheduler.Report(r.now, d.event)
	}
	r.due = l
}

// submit submits a job, plans its events, and returns its decode engine.
func (r *outlierRun) submit() sardineknot.BackendServerName {
	id := fmt.Sprint(r.now.Sub(start))
	n := granted(r.scheduler.Submit(r.now, job(id, r.now, 1000, 300)), id).DecodeEngine
	if n == "" {
		return n
	}
	r.plan(20*time.Millisecond, event(id, sardineknot.JobPrefillDone, "p", 0))
	if !r.broken[n] || r.random != nil && r.random.Float64() >= r.rate {
		r.plan(60*time.Millisecond, event(id, sardineknot.JobDecodeStarted, n, 73))
		r.plan(120*time.Millisecond, event(id, sardineknot.JobProgress, n, 160))
		r.plan(200*time.Millisecond, event(id, sardineknot.JobFinished, n, 300))
		return n
	}
	if r.end.begins {
		r.plan(60*time.Millisecond, event(id, sardineknot.JobDecodeStarted, n, 73))
	}
	r.plan(r.end.after, event(id, r.end.kind, n, 73))
	return n
}

func (r *outlierRun) plan(after time.Duration, e sardineknot.JobEvent) {
	r.due = append(r.due, dueEvent{r.now.Add(after), e})
}

// TestOutlier guards against an engine whose answers are all broken and that keeps its share
// of the jobs, or gets more, since it is mostly idle. The load is 10 jobs a second on four
// engines.
func TestOutlier(t *testing.T) {
	for _, e := range brokenEnds {
		t.Run(e.name, func(t *testing.T) {
			is := is.New(t)
			r := newOutlierRun(4, e, "d0")
			r.run(5*time.Second, 100*time.Millisecond)
			m := r.run(time.Minute, 100*time.Millisecond)
			is.True(m["d0"] > 0)   // it is tried
			is.True(m["d0"] <= 12) // 150 are its share, and 12 are 2% of all
			is.Equal(m[""], 0)
			r.broken = nil
			r.run(10*time.Second, 100*time.Millisecond)
			is.True(r.run(10*time.Second, 100*time.Millisecond)["d0"] >= 15) // 25 are its share
		})
	}
}

// TestGreyEngine guards against an engine that is left unused although most of its answers
// are whole. The load is 20 jobs a second on four engines, one of which breaks 40% of its
// answers off.
func TestGreyEngine(t *testing.T) {
	r := newOutlierRun(4, brokenEnds[0], "d0")
	r.random, r.rate = rand.New(rand.NewPCG(1, 2)), 0.4
	m := r.run(5*time.Minute, 50*time.Millisecond)
	t.Log(m)
	is.New(t).Equal(m[""], 0)
	is.New(t).True(m["d0"] >= 600) // 1,500 are its share
}

// TestAllOutliers guards against jobs without an engine because the answers of all engines
// are broken: the cause may lie outside of them. The load is 5 jobs a second on two engines.
func TestAllOutliers(t *testing.T) {
	for _, e := range brokenEnds[1:] {
		t.Run(e.name, func(t *testing.T) {
			r := newOutlierRun(2, e, "d0", "d1")
			m := r.run(time.Minute, 200*time.Millisecond)
			is.New(t).Equal(m[""], 0)
			is.New(t).True(m["d0"] > 100 && m["d1"] > 100)
		})
	}
}

// TestNoOutlier guards against a sound engine that is excluded because of one reason for
// which many of its answers break, of callers that leave soon, or of jobs that end unused.
// The load is 40 jobs at a time on two engines.
func TestNoOutlier(t *testing.T) {
	for _, c := range []struct {
		event  sardineknot.JobEvent
		name   string
		begins bool
		after  time.Duration
		// wait is the longest backoff after consecutive failures, whatever their reason.
		wait time.Duration
	}{
		{name: "connections reset", event: event("", sardineknot.JobFailed, "d0", 73), begins: true, after: time.Second, wait: 4 * time.Second},
		{name: "callers leave together", event: event("", sardineknot.JobCancelled, "d0", 73), begins: true, after: time.Second},
		{name: "callers leave soon", event: event("", sardineknot.JobCancelled, "d0", 0), after: 300 * time.Millisecond},
		{name: "jobs are given up", event: event("", sardineknot.JobCancelled, "", 0), after: 2 * time.Second},
		{name: "the engine leaves", event: sardineknot.JobEvent{Kind: sardineknot.JobCancelled, Server: "d0", Leaving: true}, after: 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newOutlierRun(2, jobEnd{})
			for i := range 40 {
				e := c.event
				e.Key = event(fmt.Sprint("j", i), 0, "", 0).Key
				r.burst(fmt.Sprint("j", i), c.begins, c.after+time.Duration(i)*time.Millisecond, e)
			}
			r.now = start.Add(c.after + 100*time.Millisecond)
			r.deliver()
			r.now = r.now.Add(c.wait).Truncate(100 * time.Millisecond)
			is.New(t).True(r.run(4*time.Second, 100*time.Millisecond)["d0"] >= 17) // 20 are its share
		})
	}
}

// burst submits a job whose prefill ends at once, and plans its end if it got the engine d0.
func (r *outlierRun) burst(id string, begins bool, after time.Duration, end sardineknot.JobEvent) {
	g := granted(r.scheduler.Submit(r.now, job(id, r.now, 10, 300)), id)
	r.scheduler.Report(r.now, event(id, sardineknot.JobPrefillDone, "p", 0))
	if g.DecodeEngine != "d0" {
		return
	}
	if begins {
		r.scheduler.Report(r.now, event(id, sardineknot.JobDecodeStarted, "d0", 73))
	}
	r.plan(after, end)
}
