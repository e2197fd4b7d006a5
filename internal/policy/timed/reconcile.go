package timed

import (
	"maps"
	"slices"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// expireEvery is the interval between searches for lost jobs.
	expireEvery = time.Second
	// recheck is the time after which waiting jobs are looked at again.
	recheck = 10 * time.Millisecond
	// boundFactor and boundSlack bound the time of a job in one state, beside
	// the longest time that is expected of it.
	boundFactor = 2
	boundSlack  = 10 * time.Second
	// settled is the age from which a job must appear in a load report.
	settled = time.Second
	// shortReports is the number of reports in a row that must lack a job.
	shortReports = 3
)

// Observe implements sardineknot.Scheduler. Jobs that an engine no longer has
// are dropped: their owners failed before they could report the end.
func (s *Scheduler) Observe(now time.Time, r sardineknot.LoadReport) {
	e := s.engines[r.Server]
	if e == nil {
		return
	}
	n := e.settledJobs(r.At.Add(-settled)) - r.Running - r.Waiting
	if n <= 0 {
		e.short = 0
		return
	}
	e.short++
	if e.short < shortReports {
		return
	}
	e.short = 0
	for range n {
		s.release(now, e.oldest())
	}
}

// NextWake implements sardineknot.Scheduler.
func (s *Scheduler) NextWake() time.Time {
	if len(s.jobs) == 0 {
		return time.Time{}
	}
	t := s.expireAt
	if len(s.latest) > 0 || len(s.pending) > 0 {
		t = s.wakeAt
	}
	if t.IsZero() {
		return time.Unix(0, 1)
	}
	return t
}

// expire ends the jobs that cannot still run: their release was lost.
func (s *Scheduler) expire(now time.Time) {
	s.wakeAt = now.Add(recheck)
	if now.Before(s.expireAt) {
		return
	}
	s.expireAt = now.Add(expireEvery)
	for _, n := range slices.Sorted(maps.Keys(s.engines)) {
		s.expireOn(now, s.engines[n])
	}
	s.forgetEngines()
}

func (s *Scheduler) expireOn(now time.Time, e *engine) {
	for i := len(e.jobs) - 1; i >= 0; i-- {
		j := e.jobs[i]
		if now.Sub(j.began) > s.bound(j) {
			s.release(now, j)
		}
	}
}

// bound returns the longest time that j may be in its state.
func (s *Scheduler) bound(j *job) time.Duration {
	if j.state != decoding {
		return boundFactor*(j.cost+j.predicted+s.Life) + boundSlack
	}
	t := max(j.PerToken, seconds(s.interval))
	return boundFactor*time.Duration(j.MaxTokens)*t + boundSlack
}

// settledJobs counts the jobs that work on e since before t.
func (e *engine) settledJobs(t time.Time) int {
	var n int
	for _, j := range e.jobs {
		if j.works(e) && j.began.Before(t) {
			n++
		}
	}
	return n
}

// oldest returns the job that works on e longest.
func (e *engine) oldest() *job {
	var o *job
	for _, j := range e.jobs {
		if j.works(e) && (o == nil || j.began.Before(o.began)) {
			o = j
		}
	}
	return o
}

// works reports whether j was sent to e, rather than holds a reservation.
func (j *job) works(e *engine) bool {
	return j.prefill == e || j.decode == e && j.state >= importing
}
