package memory

import (
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// demandWeight is the weight of one job in the averages of demand.
	demandWeight = 0.01
	// minDemandJobs is the number of jobs from which demand is known.
	minDemandJobs = 100
)

// demand averages the work that a job makes for engines of both roles.
type demand struct {
	// jobs counts the observed jobs, up to minDemandJobs.
	jobs int
	// prefill is the time that a job occupies a prefill engine, and decode the
	// time that it would occupy a decode engine alone, in seconds. An answer
	// that uses a tenth of the memory for ten seconds counts as one second.
	prefill, decode ewma
}

var _ sardineknot.RoleDemand = (*Scheduler)(nil)

// observe records a job whose prompt took prefillTime to prefill, and whose
// answer used the given part of its engine's memory, on average, for duration.
func (d *demand) observe(prefillTime time.Duration, memoryShare float64, duration time.Duration) {
	w := demandWeight
	if d.jobs < minDemandJobs {
		d.jobs++
		w = 1 / float64(d.jobs)
	}
	d.prefill.addWeighted(prefillTime.Seconds(), w)
	d.decode.addWeighted(memoryShare*duration.Seconds(), w)
}

// observeDemand records the demand of j, whose answer has the given number of
// tokens.
func (s *Scheduler) observeDemand(j *job, tokens int) {
	e := j.decode
	if e == nil || e.server.MemoryTokens == 0 || j.Resumed {
		return
	}
	m := float64(j.PromptTokens) + float64(tokens)/2
	s.demand.observe(j.prefillTime, m/e.capacity(), seconds(float64(tokens)/max(1, e.tokenRate.value)))
}

// PrefillShare implements sardineknot.RoleDemand.
func (s *Scheduler) PrefillShare() (share float64, ok bool) {
	d := &s.demand
	t := d.prefill.value + d.decode.value
	if d.jobs < minDemandJobs || t <= 0 {
		return 0, false
	}
	return d.prefill.value / t, true
}
