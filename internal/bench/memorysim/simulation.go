// Package memorysim simulates a scheduler together with callers and with engines
// whose memory is scarcer than their slots, in virtual time.
//
// Decode engines are simulated step by step. Each step generates a token for
// each running answer and may prefill a chunk of a prompt. Answers allocate
// memory in blocks as they grow. When memory runs out, the newest answer is
// preempted and prefilled again later. Prefill engines process one prompt at a
// time, and the resulting KV caches expire. Of the router, only the behaviour
// that a scheduler observes is simulated: the attempts, their progress events
// and their outcomes. Equal seeds give equal runs.
package memorysim

import (
	"math/rand/v2"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/bench/pattern"
	"sardineknot.example/sardineknot/internal/bench/score"
	"sardineknot.example/sardineknot/internal/bench/timeline"
	"sardineknot.example/sardineknot/internal/policy/clairvoyant"
)

// Simulation holds the state of one run. Its zero value is not usable.
type Simulation struct {
	*timeline.Timeline
	pattern pattern.Pattern
	// newScheduler creates a scheduler. It is called at the start, and after
	// each fault that stops the scheduler.
	newScheduler func() sardineknot.Scheduler
	scheduler    sardineknot.Scheduler
	// schedulerDown reports whether the scheduler is stopped.
	schedulerDown bool
	// ideal reports whether the run has no delays, no faults and a single
	// engine of each role. The decode engine then has the memory, slots and
	// speed of all decode engines together, and the prefill engine is as fast
	// as all engines of both roles together.
	ideal bool

	start    time.Time
	random   *rand.Rand
	requests []*request
	attempts map[sardineknot.RequestKey]*attempt
	prefill  []*prefillEngine
	decode   []*decodeEngine
	// linkFactor holds, for each engine, the factor by which a fault multiplies
	// the duration of its transfers. Engines that no such fault has affected
	// are missing.
	linkFactor map[sardineknot.BackendServerName]float64
	// linkFreeAt holds the time from which the link of each engine is free.
	linkFreeAt map[sardineknot.BackendServerName]time.Time
	// wakeAt is the time of the next call of Scheduler.Wake, or zero.
	wakeAt time.Time
	counts
}

// counts holds totals over a run.
type counts struct {
	// prefilledTokens is the number of tokens prefilled. wastedTokens is the
	// number of tokens whose KV cache was lost or not used.
	prefilledTokens, wastedTokens int
	// startedAnswers is the number of answers that decode engines accepted.
	// preempted is the number of requests whose answer was preempted.
	startedAnswers, preempted int
	// roleChanges is the number of engines that were ordered to change their role.
	roleChanges int
}

// NewSimulation returns a simulation of pattern p. newScheduler is called to
// create the scheduler, and again whenever a fault stops it. If the scheduler
// is a clairvoyant.Scheduler, the simulation is ideal: it has neither delays
// nor faults.
func NewSimulation(p pattern.Pattern, newScheduler func() sardineknot.Scheduler, seed uint64) *Simulation {
	t := time.Unix(1000, 0)
	n := &Simulation{
		Timeline:     timeline.NewTimeline(t),
		pattern:      p,
		newScheduler: newScheduler,
		scheduler:    newScheduler(),
		start:        t,
		random:       rand.New(rand.NewPCG(seed, 2)),
		attempts:     make(map[sardineknot.RequestKey]*attempt),
		linkFactor:   make(map[sardineknot.BackendServerName]float64),
		linkFreeAt:   make(map[sardineknot.BackendServerName]time.Time),
	}
	f, ok := n.scheduler.(*clairvoyant.Scheduler)
	if ok {
		n.ideal = true
		n.informScheduler(f)
	}
	n.addEngines()
	n.addRequests(rand.New(rand.NewPCG(seed, 3)))
	return n
}

// Run runs the simulation to its end and returns the score. It must be called
// only once.
func (s *Simulation) Run() score.Score {
	s.setServers()
	for _, r := range s.requests {
		s.At(r.arrivedAt, func() { s.submit(r) })
	}
	if !s.ideal {
		s.planFaults()
		s.reportLoads()
	}
	if !s.ideal && s.pattern.RoleSwitch > 0 {
		s.After(roleInterval, func() { s.balanceRoles(0) })
	}
	s.Timeline.Run(s.start.Add(s.pattern.Duration + 2*s.pattern.CallerTimeout))
	return s.finish()
}

// messageDelay returns the delay of a message between processes.
func (s *Simulation) messageDelay() time.Duration {
	if s.ideal {
		return 0
	}
	return s.pattern.MessageDelay
}

// apply executes the decisions of the scheduler after the delay of a message,
// and schedules the next call of the scheduler's method Wake. Decisions are
// dropped if the scheduler is replaced before they are executed.
func (s *Simulation) apply(decisions []sardineknot.Decision) {
	o := s.scheduler
	for _, d := range decisions {
		s.After(s.messageDelay(), func() {
			if s.scheduler == o {
				s.execute(d)
			}
		})
	}
	s.planWake()
}

// planWake schedules a call of Wake for the time that the scheduler requests,
// but no sooner than in a millisecond.
func (s *Simulation) planWake() {
	t := s.scheduler.NextWake()
	if t.IsZero() || !s.wakeAt.IsZero() && !s.wakeAt.After(t) {
		return
	}
	if m := s.Now().Add(time.Millisecond); t.Before(m) {
		t = m
	}
	s.wakeAt = t
	s.At(t, func() {
		if !s.wakeAt.Equal(t) {
			return
		}
		s.wakeAt = time.Time{}
		if !s.schedulerDown {
			s.apply(s.scheduler.Wake(s.Now()))
		}
	})
}

// report reports an event of the attempt to the scheduler.
func (s *Simulation) report(a *attempt, kind sardineknot.JobEventKind, server sardineknot.BackendServerName) {
	s.reportEvent(a, sardineknot.JobEvent{Kind: kind, Server: server})
}

// reportEvent completes event with the key and tokens of the attempt and
// reports it to the scheduler. The event is lost if the scheduler is stopped.
func (s *Simulation) reportEvent(a *attempt, event sardineknot.JobEvent) {
	event.Key, event.Tokens = a.job.Key, a.events*s.pattern.EventTokens
	a.reportedAt = s.Now()
	s.After(s.messageDelay(), func() {
		if !s.schedulerDown {
			s.apply(s.scheduler.Report(s.Now(), event))
		}
	})
}
