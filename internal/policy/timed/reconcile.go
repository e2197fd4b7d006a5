package timed

import (
	"maps"
	"slices"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// expiryInterval is the interval between calls of expire, which removes the
	// jobs whose end was not reported.
	expiryInterval = time.Second
	// recheckInterval is the interval at which the scheduler checks again
	// whether waiting jobs can start or have to be refused.
	recheckInterval = 10 * time.Millisecond
	// maxTimeFactor and maxTimeSlack bound the time that a job may spend in one
	// state: maxTimeFactor times the longest time expected for that state, plus
	// maxTimeSlack.
	maxTimeFactor = 2
	maxTimeSlack  = 10 * time.Second
	// reportGrace is the time after which a job that was sent to an engine must
	// appear in the load reports of the engine.
	reportGrace = time.Second
	// minMissingReports is the number of consecutive load reports after which
	// ObserveLoad drops jobs, if all of these reports list fewer requests than
	// the engine has jobs.
	minMissingReports = 3
)

// ObserveLoad implements sardineknot.Scheduler. If an engine repeatedly reports
// fewer requests than it has jobs, ObserveLoad drops as many of its oldest jobs
// as are missing from the report: the hosts that held them probably failed
// before they could report the end.
func (s *Scheduler) ObserveLoad(now time.Time, report sardineknot.LoadReport) {
	e := s.engines[report.Server]
	if e == nil {
		return
	}
	n := e.countRunning(report.MeasuredAt.Add(-reportGrace)) - report.Running - report.Waiting
	if n <= 0 {
		e.missingReports = 0
		return
	}
	e.missingReports++
	if e.missingReports < minMissingReports {
		return
	}
	e.missingReports = 0
	for range n {
		s.remove(now, e.oldest())
	}
}

// NextWake implements sardineknot.Scheduler.
func (s *Scheduler) NextWake() time.Time {
	if len(s.jobs) == 0 {
		return time.Time{}
	}
	t := s.nextExpiry
	if len(s.byLatestStart) > 0 || len(s.pending) > 0 {
		t = s.nextRecheck
	}
	if t.IsZero() {
		return time.Unix(0, 1)
	}
	return t
}

// expire removes the jobs that have exceeded maxStateTime. They cannot still be
// running, so the report of their end was lost.
func (s *Scheduler) expire(now time.Time) {
	s.nextRecheck = now.Add(recheckInterval)
	if now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = now.Add(expiryInterval)
	for _, n := range slices.Sorted(maps.Keys(s.engines)) {
		s.expireOn(now, s.engines[n])
	}
	s.pruneEngines()
}

// expireOn removes the jobs on e that have exceeded maxStateTime. It goes
// backwards because the last job takes the position of a removed one.
func (s *Scheduler) expireOn(now time.Time, e *engine) {
	for i := len(e.jobs) - 1; i >= 0; i-- {
		j := e.jobs[i]
		if now.Sub(j.stateStart) > s.maxStateTime(j) {
			s.remove(now, j)
		}
	}
}

// maxStateTime returns the longest time that j may spend in its current state.
func (s *Scheduler) maxStateTime(j *job) time.Duration {
	if j.state != decoding {
		return maxTimeFactor*(j.prefillTime+j.predictedTransfer+s.ResultLifetime) + maxTimeSlack
	}
	t := max(j.PerToken, seconds(s.tokenInterval))
	return maxTimeFactor*time.Duration(j.MaxTokens)*t + maxTimeSlack
}

// countRunning returns the number of jobs that were sent to e before cutoff.
func (e *engine) countRunning(cutoff time.Time) int {
	var n int
	for _, j := range e.jobs {
		if j.runsOn(e) && j.stateStart.Before(cutoff) {
			n++
		}
	}
	return n
}

// oldest returns the job that has run on e for longest, or nil.
func (e *engine) oldest() *job {
	var o *job
	for _, j := range e.jobs {
		if j.runsOn(e) && (o == nil || j.stateStart.Before(o.stateStart)) {
			o = j
		}
	}
	return o
}

// runsOn reports whether j was sent to e. A job that only has a slot reserved
// on e does not count.
func (j *job) runsOn(e *engine) bool {
	return j.prefill == e || j.decode == e && j.state >= importing
}
