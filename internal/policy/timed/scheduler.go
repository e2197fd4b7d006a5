// Package timed implements the scheduler that counts decode slots exactly and
// predicts the durations of prefills. It schedules the jobs of the entry host
// in package process.
//
// A job waits in the queue until a prefill engine is about to become idle and
// until a decode slot is free or is expected to become free before the prefill
// engine would discard the KV cache that it computes for the job. A job is
// refused before its prefill if the deadline of its first token or its latency
// target between tokens cannot be met. See docs/POLICY.md for the rules and the
// measurements behind them.
package timed

import (
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/fairness"
	"sardineknot.example/sardineknot/internal/policy/indexheap"
	"sardineknot.example/sardineknot/internal/policy/lengths"
	"sardineknot.example/sardineknot/internal/policy/links"
	"sardineknot.example/sardineknot/internal/policy/prefixes"
)

const (
	// defaultResultLifetime is the time for which engines keep the KV cache
	// that a prefill computed.
	defaultResultLifetime = 800 * time.Millisecond
	// defaultBytesPerToken is the size of the KV cache of one token.
	defaultBytesPerToken = 128 << 10
	// initialPrefillPerToken and initialTokenInterval are the initial values of
	// rates.prefillPerToken and rates.tokenInterval, before any observation.
	initialPrefillPerToken = 100 * time.Microsecond
	initialTokenInterval   = 30 * time.Millisecond
	// maxPrefixes is the maximum number of prompt prefixes for which the
	// scheduler records the engines that received them. The record of one
	// prefix takes about 200 bytes.
	maxPrefixes = 20000
	// prefixThreshold is the number of times that a prefix must occur before
	// the engines that received it are recorded.
	prefixThreshold = 1
)

// Scheduler is a sardineknot.Scheduler and a sardineknot.JobAdopter. Use
// NewScheduler to create one.
type Scheduler struct {
	// ResultLifetime is the time for which engines keep the KV cache that a
	// prefill computed. NewScheduler sets a default, which may be changed
	// before first use.
	ResultLifetime time.Duration
	// BytesPerToken is the size of the KV cache of one token. NewScheduler sets
	// a default, which may be changed before first use.
	BytesPerToken float64

	// jobs holds every job that has not ended.
	jobs map[sardineknot.RequestKey]*job
	// queue and byLatestStart both hold all jobs in state queued. queue holds
	// them in the order of service, byLatestStart as a heap ordered by
	// job.latestStart.
	queue         *fairness.Queue
	byLatestStart indexheap.Heap[*job]
	// pending lists the prefilling and ready jobs that have no slot, in the
	// order in which their prefills are expected to end.
	pending []*job
	// prefill and decode are the engines that accept new work, in the order
	// given to SetServers.
	prefill []*engine
	decode  []*engine
	// engines also contains removed engines that still run jobs.
	engines map[sardineknot.BackendServerName]*engine

	lengths  *lengths.Estimator
	prefixes *prefixes.Map
	links    *links.Meter

	rates
	// decisions collects the decisions of the current call.
	decisions []sardineknot.Decision
}

var _ sardineknot.Scheduler = (*Scheduler)(nil)

// NewScheduler returns a scheduler without servers.
func NewScheduler() *Scheduler {
	return &Scheduler{
		ResultLifetime: defaultResultLifetime,
		BytesPerToken:  defaultBytesPerToken,
		jobs:           make(map[sardineknot.RequestKey]*job),
		queue:          fairness.NewQueue(),
		engines:        make(map[sardineknot.BackendServerName]*engine),
		lengths:        lengths.NewEstimator(),
		prefixes:       prefixes.NewMap(maxPrefixes, prefixThreshold),
		links:          links.NewMeter(),
		rates: rates{
			prefillPerToken: initialPrefillPerToken.Seconds(),
			tokenInterval:   initialTokenInterval.Seconds(),
			calibration:     calibration{ratio: 1},
		},
	}
}

// SetServers implements sardineknot.Scheduler.
func (s *Scheduler) SetServers(now time.Time, servers []sardineknot.BackendServer, declared []sardineknot.Link) []sardineknot.Decision {
	s.links.SetLinks(declared)
	s.prefill, s.decode = nil, nil
	for _, e := range s.engines {
		e.removed = true
	}
	for _, b := range servers {
		e := s.engines[b.Name]
		if e == nil {
			e = &engine{}
			s.engines[b.Name] = e
		}
		e.server, e.removed = b, false
		switch b.Role {
		case sardineknot.RolePrefill:
			s.prefill = append(s.prefill, e)
		case sardineknot.RoleDecode:
			s.decode = append(s.decode, e)
		}
	}
	s.pruneEngines()
	s.freeingRateAt = time.Time{}
	s.schedule(now)
	return s.takeDecisions()
}

// Submit implements sardineknot.Scheduler.
func (s *Scheduler) Submit(now time.Time, spec sardineknot.Job) []sardineknot.Decision {
	if s.jobs[spec.Key] != nil {
		return nil
	}
	n := s.newJob(spec)
	r, t := s.admit(now, n)
	if r != "" {
		s.refuse(n, r, t)
		return s.takeDecisions()
	}
	s.enqueue(n)
	s.schedule(now)
	return s.takeDecisions()
}

// Report implements sardineknot.Scheduler.
func (s *Scheduler) Report(now time.Time, event sardineknot.JobEvent) []sardineknot.Decision {
	j := s.jobs[event.Key]
	if j == nil {
		return nil
	}
	switch event.Kind {
	case sardineknot.JobPrefillDone:
		s.handlePrefillDone(now, j)
	case sardineknot.JobDecodeStarted:
		s.handleDecodeStarted(now, j)
	case sardineknot.JobFinished:
		s.handleFinished(now, j, event.Tokens)
	case sardineknot.JobFailed:
		s.handleFailed(now, j, event.Server)
	case sardineknot.JobCancelled:
		s.remove(now, j)
	}
	s.schedule(now)
	return s.takeDecisions()
}

// Wake implements sardineknot.Scheduler.
func (s *Scheduler) Wake(now time.Time) []sardineknot.Decision {
	s.expire(now)
	s.schedule(now)
	return s.takeDecisions()
}

// schedule refuses jobs that can no longer meet their deadline, assigns free
// slots, and starts prefills.
func (s *Scheduler) schedule(now time.Time) {
	s.refuseLate(now)
	s.assignSlots(now)
	s.startQueued(now)
}

// decide adds the decision that e performs action for j.
func (s *Scheduler) decide(j *job, action sardineknot.Action, e *engine) {
	s.decisions = append(s.decisions, sardineknot.Decision{Key: j.Key, Action: action, Server: e.server.Name})
}

// takeDecisions returns the decisions of the current call and clears them.
func (s *Scheduler) takeDecisions() []sardineknot.Decision {
	d := s.decisions
	s.decisions = nil
	return d
}

// pruneEngines deletes removed engines that have no jobs.
func (s *Scheduler) pruneEngines() {
	for n, e := range s.engines {
		if e.removed && len(e.jobs) == 0 {
			delete(s.engines, n)
		}
	}
}
