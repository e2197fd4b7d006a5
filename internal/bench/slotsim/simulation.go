// Package slotsim is a discrete-event simulation of a scheduler together with
// callers, engines and links.
//
// The models are simple. A prefill engine processes one prompt at a time and
// caches prompt pieces. A decode engine generates tokens for all its requests
// at the same rate, which decreases with their number. The rate of a link is
// divided evenly among its transfers. Equal seeds give equal runs.
package slotsim

import (
	"math/rand/v2"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/bench/result"
	"sardineknot.example/sardineknot/internal/bench/timeline"
	"sardineknot.example/sardineknot/internal/bench/workload"
	"sardineknot.example/sardineknot/internal/policy/oracle"
)

const (
	// warmUp and drain are the lengths of the periods before and after the
	// measured period. Requests arrive at the same rate in all three periods,
	// so that the engines are not idle at the beginning of the measured period
	// and the load does not drop at its end.
	warmUp = 20 * time.Second
	drain  = 40 * time.Second
	// removalDelay is the time after which a killed engine is removed from the
	// servers of the scheduler.
	removalDelay = 5 * time.Second
	// detectionDelay is the time after which other entry hosts cancel the
	// requests that a killed entry host has on engines.
	detectionDelay = 3 * time.Second
	// reconnectDelay is the time after which the callers of a killed entry host
	// submit their requests to another one.
	reconnectDelay = time.Second
	// refusedConnectionDelay is the time after which a call to a killed engine
	// fails.
	refusedConnectionDelay = time.Millisecond
	// slowLinkFactor is the rate of a slowed link, relative to its declared
	// rate.
	slowLinkFactor = 0.1
	// faultReportLag and faultEventDelay are the delays of load reports and job
	// events during FaultLag.
	faultReportLag  = 3 * time.Second
	faultEventDelay = 100 * time.Millisecond
	// maxAttempts is the maximum number of attempts of one submission of a
	// request.
	maxAttempts = 4
)

// The faults. A fault begins after one third of the measured period and ends
// after two thirds.
const (
	FaultNone           = "none"
	FaultEngineCrash    = "runner killed"
	FaultLag            = "reports lag"
	FaultLink           = "link slowed"
	FaultEntryHostCrash = "entry host killed"
)

// Simulation holds the state of one run. Its zero value is not usable.
type Simulation struct {
	workload  workload.Workload
	scheduler sardineknot.Scheduler
	fault     string
	duration  time.Duration
	// ideal reports whether the run has no delays and KV caches do not expire.
	ideal bool

	*timeline.Timeline
	start time.Time
	// wakeAt is the time of the next call of Scheduler.Wake, or zero.
	wakeAt time.Time

	random   *rand.Rand
	requests []*request
	attempts map[sardineknot.RequestKey]*attempt
	prefill  []*prefillEngine
	decode   []*decodeEngine
	links    map[pair]*link
	// shared is the common cache of all prefill engines in an ideal simulation.
	shared map[uint64]bool
	// deadHost is the index of the killed entry host, or -1 if all entry hosts
	// are alive.
	deadHost int

	measures
}

// NewSimulation returns a simulation in which the scheduler s schedules the
// requests of workload w under the named fault. duration is the length of the
// measured period. load is the rate of new requests, relative to the capacity
// of w. If s is an oracle.Scheduler, the simulation is ideal: it has no delays,
// and KV caches do not expire.
func NewSimulation(w workload.Workload, s sardineknot.Scheduler, fault string, load float64, duration time.Duration, seed uint64) *Simulation {
	t := time.Unix(1000, 0)
	n := &Simulation{
		workload:  w,
		scheduler: s,
		fault:     fault,
		duration:  duration,
		Timeline:  timeline.NewTimeline(t),
		start:     t,
		random:    rand.New(rand.NewPCG(seed, 2)),
		attempts:  make(map[sardineknot.RequestKey]*attempt),
		links:     make(map[pair]*link),
		shared:    make(map[uint64]bool),
		deadHost:  -1,
		measures:  newMeasures(),
	}
	n.measures.result.Load = load
	n.measures.result.Workload = w.Name
	n.measures.result.Fault = fault
	n.addEngines()
	n.addRequests(rand.New(rand.NewPCG(seed, 3)), load)
	o, ok := s.(*oracle.Scheduler)
	if ok {
		n.ideal = true
		n.informScheduler(o)
	}
	return n
}

// Run runs the simulation to its end and returns the result. It must be called
// only once.
func (s *Simulation) Run() result.Result {
	s.setServers()
	for _, r := range s.requests {
		s.At(r.arrivedAt, func() { s.submit(r, 0) })
	}
	s.At(s.start.Add(warmUp+s.duration/3), s.beginFault)
	s.At(s.start.Add(warmUp+2*s.duration/3), s.endFault)
	if !s.ideal {
		s.reportLoads()
	}
	s.Timeline.Run(s.start.Add(warmUp + s.duration + drain))
	return s.finish()
}

// informScheduler gives scheduler access to the lengths of answers, the early
// disconnections of callers and the state of the engines. Other schedulers
// cannot know these.
func (s *Simulation) informScheduler(scheduler *oracle.Scheduler) {
	scheduler.Tokens = func(j sardineknot.Job) int { return s.attempts[j.Key].remainingTokens() }
	scheduler.Disconnects = func(j sardineknot.Job) bool { return s.attempts[j.Key].request.cancelAfter > 0 }
	scheduler.PrefillTime = func(j sardineknot.Job) time.Duration {
		return s.workload.Prefill(s.uncachedTokens(nil, s.attempts[j.Key]))
	}
	scheduler.SlotsFreed = s.slotsFreedWithin
	scheduler.TokenInterval = s.workload.Interval(s.workload.Slots)
}

// messageDelay returns the delay of a message between processes.
func (s *Simulation) messageDelay() time.Duration {
	if s.ideal {
		return 0
	}
	return s.workload.MessageDelay
}

// eventDelay returns the delay of a job event to the scheduler.
func (s *Simulation) eventDelay() time.Duration {
	if s.faultActive(FaultLag) && !s.ideal {
		return faultEventDelay
	}
	return s.messageDelay()
}

// faultActive reports whether the run has the fault called name and the fault
// is in effect at present.
func (s *Simulation) faultActive(name string) bool {
	t := s.Now().Sub(s.start) - warmUp
	return s.fault == name && t >= s.duration/3 && t < 2*s.duration/3
}

// apply executes the decisions of the scheduler after the delay of a message,
// and schedules the next call of the scheduler's method Wake.
func (s *Simulation) apply(decisions []sardineknot.Decision) {
	for _, d := range decisions {
		s.After(s.messageDelay(), func() { s.execute(d) })
	}
	s.scheduleWake()
}

// scheduleWake schedules a call of Wake for the time that the scheduler
// requests, but no sooner than in a millisecond.
func (s *Simulation) scheduleWake() {
	t := s.scheduler.NextWake()
	if t.IsZero() {
		return
	}
	if m := s.Now().Add(time.Millisecond); t.Before(m) {
		t = m
	}
	if !s.wakeAt.IsZero() && !s.wakeAt.After(t) {
		return
	}
	s.wakeAt = t
	s.At(t, func() {
		if s.wakeAt.Equal(t) {
			s.wakeAt = time.Time{}
			s.apply(s.scheduler.Wake(s.Now()))
		}
	})
}
