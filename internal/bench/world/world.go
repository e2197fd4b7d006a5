// Package world runs a scheduler against models of callers, engines and links
// in virtual time, with an explicit queue of events.
//
// The models are small: a prefill engine works on one prompt after the other
// and caches pieces of prompts; a decode engine generates one token for each of
// its requests at a time, more slowly the more it has; a link is shared evenly
// by its transfers. Equal seeds give equal runs.
package world

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
	// warmUp and drain are the times before and after the counted first asks.
	// Callers ask at the same rate then, so that the engines are neither idle
	// at first nor relieved at the end.
	warmUp = 20 * time.Second
	drain  = 40 * time.Second
	// removal is the time after which a killed engine is removed from the
	// servers of the scheduler.
	removal = 5 * time.Second
	// detection is the time after which the engines' requests of a killed
	// entry host are cancelled by the others.
	detection = 3 * time.Second
	// reconnect is the time after which the callers of a killed entry host
	// ask another one.
	reconnect = time.Second
	// refusedConnection is the time of a call to a killed engine.
	refusedConnection = time.Millisecond
	// slowLink is the factor on the rate of a slowed link.
	slowLink = 0.1
	// laggingReports and laggingEvents are the delays of load reports and job
	// events under the fault FaultLag.
	laggingReports = 3 * time.Second
	laggingEvents  = 100 * time.Millisecond
	// maxAttempts bounds the attempts of one ask.
	maxAttempts = 4
)

// The faults. They begin after a third of the counted time and end after two
// thirds.
const (
	FaultNone  = "none"
	FaultKill  = "runner killed"
	FaultLag   = "reports lag"
	FaultLink  = "link slowed"
	FaultEntry = "entry host killed"
)

// World is one run. NewWorld makes one.
type World struct {
	workload  workload.Workload
	scheduler sardineknot.Scheduler
	fault     string
	duration  time.Duration
	// ideal tells that there are no delays and that results do not lapse.
	ideal bool

	*timeline.Timeline
	start time.Time
	// wakeAt is the time of the next wake event, or zero.
	wakeAt time.Time

	random  *rand.Rand
	asks    []*ask
	tries   map[sardineknot.RequestKey]*try
	prefill []*prefillEngine
	decode  []*decodeEngine
	links   map[pair]*link
	// shared is the cache of all prefill engines of an ideal world.
	shared map[uint64]bool
	// dead is the number of the killed entry host, or -1.
	dead int

	measures
}

// NewWorld returns a run of duration of workload w with scheduler s, fault
// and load relative to capacity.
func NewWorld(w workload.Workload, s sardineknot.Scheduler, fault string, load float64, duration time.Duration, seed uint64) *World {
	t := time.Unix(1000, 0)
	n := &World{
		workload:  w,
		scheduler: s,
		fault:     fault,
		duration:  duration,
		Timeline:  timeline.NewTimeline(t),
		start:     t,
		random:    rand.New(rand.NewPCG(seed, 2)),
		tries:     make(map[sardineknot.RequestKey]*try),
		links:     make(map[pair]*link),
		shared:    make(map[uint64]bool),
		dead:      -1,
		measures:  newMeasures(),
	}
	n.measures.result.Load = load
	n.measures.result.Workload = w.Name
	n.measures.result.Fault = fault
	n.addEngines()
	n.addAsks(rand.New(rand.NewPCG(seed, 3)), load)
	o, ok := s.(*oracle.Scheduler)
	if ok {
		n.ideal = true
		n.inform(o)
	}
	return n
}

// Run runs to the end and returns what was measured.
func (w *World) Run() result.Result {
	w.setServers()
	for _, a := range w.asks {
		w.At(a.at, func() { w.submit(a, 0) })
	}
	w.At(w.start.Add(warmUp+w.duration/3), w.beginFault)
	w.At(w.start.Add(warmUp+2*w.duration/3), w.endFault)
	if !w.ideal {
		w.reportLoads()
	}
	w.Timeline.Run(w.start.Add(warmUp + w.duration + drain))
	return w.finish()
}

// inform gives o what only the world knows.
func (w *World) inform(o *oracle.Scheduler) {
	o.Tokens = func(j sardineknot.Job) int { return w.tries[j.Key].left() }
	o.Disconnects = func(j sardineknot.Job) bool { return w.tries[j.Key].ask.cancelAfter > 0 }
	o.PrefillTime = func(j sardineknot.Job) time.Duration { return w.workload.Prefill(w.uncached(nil, w.tries[j.Key])) }
	o.SlotsFreed = w.freeing
	o.TokenInterval = w.workload.Interval(w.workload.Slots)
}

// hop returns the delay of a message.
func (w *World) hop() time.Duration {
	if w.ideal {
		return 0
	}
	return w.workload.Hop
}

// eventDelay returns the delay of a job event to the scheduler.
func (w *World) eventDelay() time.Duration {
	if w.faulty(FaultLag) && !w.ideal {
		return laggingEvents
	}
	return w.hop()
}

// faulty reports whether fault f is in effect.
func (w *World) faulty(f string) bool {
	t := w.Now().Sub(w.start) - warmUp
	return w.fault == f && t >= w.duration/3 && t < 2*w.duration/3
}

// decided carries out what the scheduler decided.
func (w *World) decided(l []sardineknot.Decision) {
	for _, d := range l {
		w.After(w.hop(), func() { w.execute(d) })
	}
	w.scheduleWake()
}

func (w *World) scheduleWake() {
	t := w.scheduler.NextWake()
	if t.IsZero() {
		return
	}
	if m := w.Now().Add(time.Millisecond); t.Before(m) {
		t = m
	}
	if !w.wakeAt.IsZero() && !w.wakeAt.After(t) {
		return
	}
	w.wakeAt = t
	w.At(t, func() {
		if w.wakeAt.Equal(t) {
			w.wakeAt = time.Time{}
			w.decided(w.scheduler.Wake(w.Now()))
		}
	})
}
