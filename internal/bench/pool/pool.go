// Package pool runs a scheduler against models of callers and of engines whose
// memory is scarcer than their slots, in virtual time.
//
// An engine is modelled step by step: each step generates a token for each of
// its answers and may read a piece of a prompt; memory is taken by blocks as
// answers grow; when it runs out the newest answer is preempted and read in
// again later. Prefill engines read one prompt after the other, and their
// results lapse. The router is modelled as far as it matters to the scheduler:
// its tries, its reports of progress, and the ways in which they end. Equal
// seeds give equal runs.
package pool

import (
	"math/rand/v2"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/bench/pattern"
	"sardineknot.example/sardineknot/internal/bench/score"
	"sardineknot.example/sardineknot/internal/bench/timeline"
	"sardineknot.example/sardineknot/internal/policy/clairvoyant"
)

// Pool is one run. NewPool makes one.
type Pool struct {
	*timeline.Timeline
	pattern pattern.Pattern
	// create makes a scheduler, at first and when its owner is lost.
	create    func() sardineknot.Scheduler
	scheduler sardineknot.Scheduler
	// down tells that no scheduler decides.
	down bool
	// ideal tells that there are no delays and no faults, and one engine of each
	// stage. The decode engine has the memory, slots and speed of all; the
	// prefill engine is as fast as all engines of both stages.
	ideal bool

	start   time.Time
	random  *rand.Rand
	asks    []*ask
	tries   map[sardineknot.RequestKey]*try
	prefill []*prefillEngine
	decode  []*decodeEngine
	// linkFactor is the factor on the time of transfers by engine.
	linkFactor map[sardineknot.BackendServerName]float64
	// linkFree is the time at which the link of an engine is free.
	linkFree map[sardineknot.BackendServerName]time.Time
	// wakeAt is the time of the next wake event, or zero.
	wakeAt time.Time
	counts
}

// counts are sums over a run.
type counts struct {
	// read counts prompt tokens read, and vain those of them that were of no
	// use.
	read, vain int
	// begun counts answers, and preempted those of them that were preempted.
	begun, preempted int
}

// NewPool returns a run of the pattern p with schedulers made by create. A
// clairvoyant.Scheduler gets an ideal world.
func NewPool(p pattern.Pattern, create func() sardineknot.Scheduler, seed uint64) *Pool {
	t := time.Unix(1000, 0)
	n := &Pool{
		Timeline:   timeline.NewTimeline(t),
		pattern:    p,
		create:     create,
		scheduler:  create(),
		start:      t,
		random:     rand.New(rand.NewPCG(seed, 2)),
		tries:      make(map[sardineknot.RequestKey]*try),
		linkFactor: make(map[sardineknot.BackendServerName]float64),
		linkFree:   make(map[sardineknot.BackendServerName]time.Time),
	}
	f, ok := n.scheduler.(*clairvoyant.Scheduler)
	if ok {
		n.ideal = true
		n.inform(f)
	}
	n.addEngines()
	n.addAsks(rand.New(rand.NewPCG(seed, 3)))
	return n
}

// Run runs to the end and returns what was measured.
func (p *Pool) Run() score.Score {
	p.setServers()
	for _, a := range p.asks {
		p.At(a.at, func() { p.submit(a) })
	}
	if !p.ideal {
		p.planFaults()
		p.reportLoads()
	}
	p.Timeline.Run(p.start.Add(p.pattern.Duration + 2*p.pattern.Patience))
	return p.finish()
}

// hop returns the time of a message.
func (p *Pool) hop() time.Duration {
	if p.ideal {
		return 0
	}
	return p.pattern.Hop
}

// decided carries out what the scheduler decided.
func (p *Pool) decided(l []sardineknot.Decision) {
	s := p.scheduler
	for _, d := range l {
		p.After(p.hop(), func() {
			if p.scheduler == s {
				p.execute(d)
			}
		})
	}
	p.planWake()
}

// planWake wakes the scheduler when it asks for it.
func (p *Pool) planWake() {
	t := p.scheduler.NextWake()
	if t.IsZero() || !p.wakeAt.IsZero() && !p.wakeAt.After(t) {
		return
	}
	if m := p.Now().Add(time.Millisecond); t.Before(m) {
		t = m
	}
	p.wakeAt = t
	p.At(t, func() {
		if !p.wakeAt.Equal(t) {
			return
		}
		p.wakeAt = time.Time{}
		if !p.down {
			p.decided(p.scheduler.Wake(p.Now()))
		}
	})
}

// report tells the scheduler of an event of t.
func (p *Pool) report(t *try, k sardineknot.JobEventKind, n sardineknot.BackendServerName) {
	p.reportEvent(t, sardineknot.JobEvent{Kind: k, Server: n})
}

// reportEvent tells the scheduler of e, an event of t.
func (p *Pool) reportEvent(t *try, e sardineknot.JobEvent) {
	e.Key, e.Tokens = t.job.Key, t.events*p.pattern.EventTokens
	t.reported = p.Now()
	p.After(p.hop(), func() {
		if !p.down {
			p.decided(p.scheduler.Report(p.Now(), e))
		}
	})
}
