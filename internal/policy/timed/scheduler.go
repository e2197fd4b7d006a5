// Package timed is the scheduler that counts slots exactly and times prefills.
//
// A job waits in the router until a prefill engine is about to become idle and
// until a decode slot is free or is expected to become free within the life of
// the prefill's result. It is refused before its prefill if the first token or
// the rate of tokens cannot be had in time. See docs/POLICY.md for the rules
// and the measurements behind them.
package timed

import (
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/fairness"
	"sardineknot.example/sardineknot/internal/policy/lengths"
	"sardineknot.example/sardineknot/internal/policy/links"
	"sardineknot.example/sardineknot/internal/policy/prefixes"
)

const (
	// defaultLife is the time for which engines keep the result of a prefill.
	defaultLife = 800 * time.Millisecond
	// defaultBytesPerToken is the size of the KV cache of one token.
	defaultBytesPerToken = 128 << 10
	// firstPrefillPerToken and firstInterval are the estimates before any
	// observation.
	firstPrefillPerToken = 100 * time.Microsecond
	firstInterval        = 30 * time.Millisecond
	// maxPrefixes bounds the memory of prefixes. An entry takes some 200 bytes.
	maxPrefixes = 20000
	// prefixThreshold is the number of times that a prefix must be seen before
	// the engines that hold it are remembered.
	prefixThreshold = 1
)

// Scheduler is a sardineknot.Scheduler. NewScheduler makes one.
type Scheduler struct {
	// Life is the time for which engines keep the result of a prefill. It is
	// set before use.
	Life time.Duration
	// BytesPerToken is the size of the KV cache of one token. It is set before
	// use.
	BytesPerToken float64

	// jobs has one entry for each job that has not ended.
	jobs map[sardineknot.RequestKey]*job
	// queue and latest hold the jobs in state queued.
	queue  *fairness.Queue
	latest deadlines
	// pending lists the jobs that are prefilling or ready and have no slot, in
	// the order in which their prefills are due.
	pending []*job
	// prefill and decode are the engines that accept new work, by name.
	prefill []*engine
	decode  []*engine
	// engines also has those that are gone and still have jobs.
	engines map[sardineknot.BackendServerName]*engine

	lengths  *lengths.Estimator
	prefixes *prefixes.Memory
	links    *links.Meter

	rates
	// decisions collects what the present call decides.
	decisions []sardineknot.Decision
}

var _ sardineknot.Scheduler = (*Scheduler)(nil)

// NewScheduler returns a scheduler without servers.
func NewScheduler() *Scheduler {
	return &Scheduler{
		Life:          defaultLife,
		BytesPerToken: defaultBytesPerToken,
		jobs:          make(map[sardineknot.RequestKey]*job),
		queue:         fairness.NewQueue(),
		engines:       make(map[sardineknot.BackendServerName]*engine),
		lengths:       lengths.NewEstimator(),
		prefixes:      prefixes.NewMemory(maxPrefixes, prefixThreshold),
		links:         links.NewMeter(),
		rates: rates{
			perToken:    firstPrefillPerToken.Seconds(),
			interval:    firstInterval.Seconds(),
			calibration: calibration{ratio: 1},
		},
	}
}

// SetServers implements sardineknot.Scheduler.
func (s *Scheduler) SetServers(now time.Time, l []sardineknot.BackendServer, k []sardineknot.Link) []sardineknot.Decision {
	s.links.SetLinks(k)
	s.prefill, s.decode = nil, nil
	for _, e := range s.engines {
		e.gone = true
	}
	for _, b := range l {
		e := s.engines[b.Name]
		if e == nil {
			e = &engine{}
			s.engines[b.Name] = e
		}
		e.server, e.gone = b, false
		switch b.Role {
		case sardineknot.RolePrefill:
			s.prefill = append(s.prefill, e)
		case sardineknot.RoleDecode:
			s.decode = append(s.decode, e)
		}
	}
	s.forgetEngines()
	s.freeingAt = time.Time{}
	s.settle(now)
	return s.take()
}

// Submit implements sardineknot.Scheduler.
func (s *Scheduler) Submit(now time.Time, j sardineknot.Job) []sardineknot.Decision {
	if s.jobs[j.Key] != nil {
		return nil
	}
	n := s.newJob(j)
	r, t := s.admit(now, n)
	if r != "" {
		s.refuse(n, r, t)
		return s.take()
	}
	s.enqueue(n)
	s.settle(now)
	return s.take()
}

// Report implements sardineknot.Scheduler.
func (s *Scheduler) Report(now time.Time, e sardineknot.JobEvent) []sardineknot.Decision {
	j := s.jobs[e.Key]
	if j == nil {
		return nil
	}
	switch e.Kind {
	case sardineknot.JobPrefillDone:
		s.prefillDone(now, j)
	case sardineknot.JobDecodeStarted:
		s.decodeStarted(now, j)
	case sardineknot.JobFinished:
		s.finished(now, j, e.Tokens)
	case sardineknot.JobFailed:
		s.failed(now, j, e.Server)
	case sardineknot.JobCancelled:
		s.release(now, j)
	}
	s.settle(now)
	return s.take()
}

// Wake implements sardineknot.Scheduler.
func (s *Scheduler) Wake(now time.Time) []sardineknot.Decision {
	s.expire(now)
	s.settle(now)
	return s.take()
}

// settle decides whatever has become possible.
func (s *Scheduler) settle(now time.Time) {
	s.dropHopeless(now)
	s.place(now)
	s.pump(now)
}

func (s *Scheduler) decide(j *job, a sardineknot.Action, e *engine) {
	s.decisions = append(s.decisions, sardineknot.Decision{Key: j.Key, Action: a, Server: e.server.Name})
}

func (s *Scheduler) take() []sardineknot.Decision {
	d := s.decisions
	s.decisions = nil
	return d
}

// forgetEngines drops the engines that are gone and have no jobs.
func (s *Scheduler) forgetEngines() {
	for n, e := range s.engines {
		if e.gone && len(e.jobs) == 0 {
			delete(s.engines, n)
		}
	}
}
