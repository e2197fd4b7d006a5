// Package leastloaded implements a baseline scheduler that assigns the engines
// with the lowest reported load and starts every prefill at once.
package leastloaded

import (
	"time"

	"sardineknot.example/sardineknot"
)

// retryAfter is the time after which callers may retry while there are no
// engines.
const retryAfter = time.Second

// Scheduler is a sardineknot.Scheduler. It learns the load of engines only from
// load reports, which lag behind the actual load. The zero value has no
// servers.
type Scheduler struct {
	prefill []*engine
	decode  []*engine
	// submitted counts the accepted jobs. It rotates the choice among engines
	// with equal load.
	submitted int
}

type engine struct {
	name  sardineknot.BackendServerName
	slots int
	load  int
}

var _ sardineknot.Scheduler = (*Scheduler)(nil)

// SetServers implements sardineknot.Scheduler.
func (s *Scheduler) SetServers(_ time.Time, servers []sardineknot.BackendServer, _ []sardineknot.Link) []sardineknot.Decision {
	o := append(s.prefill, s.decode...)
	s.prefill, s.decode = nil, nil
	for _, b := range servers {
		e := &engine{name: b.Name, slots: max(1, b.Slots)}
		for _, p := range o {
			if p.name == b.Name {
				e.load = p.load
			}
		}
		switch b.Role {
		case sardineknot.RolePrefill:
			s.prefill = append(s.prefill, e)
		case sardineknot.RoleDecode:
			s.decode = append(s.decode, e)
		}
	}
	return nil
}

// Submit implements sardineknot.Scheduler.
func (s *Scheduler) Submit(_ time.Time, job sardineknot.Job) []sardineknot.Decision {
	if len(s.prefill) == 0 || len(s.decode) == 0 {
		return []sardineknot.Decision{{
			Key:        job.Key,
			Action:     sardineknot.ActionRefuse,
			Reason:     "no engine serves " + string(job.Pool),
			RetryAfter: retryAfter,
		}}
	}
	s.submitted++
	return []sardineknot.Decision{
		{Key: job.Key, Action: sardineknot.ActionPrefill, Server: s.leastLoaded(s.prefill)},
		{Key: job.Key, Action: sardineknot.ActionDecode, Server: s.leastLoaded(s.decode)},
	}
}

// leastLoaded returns the engine with the lowest load per slot.
func (s *Scheduler) leastLoaded(engines []*engine) sardineknot.BackendServerName {
	b := engines[s.submitted%len(engines)]
	for i := range engines {
		e := engines[(s.submitted+i)%len(engines)]
		if e.load*b.slots < b.load*e.slots {
			b = e
		}
	}
	return b.name
}

// Report implements sardineknot.Scheduler. It has no effect.
func (s *Scheduler) Report(time.Time, sardineknot.JobEvent) []sardineknot.Decision { return nil }

// ObserveLoad implements sardineknot.Scheduler.
func (s *Scheduler) ObserveLoad(_ time.Time, report sardineknot.LoadReport) {
	for _, l := range [][]*engine{s.prefill, s.decode} {
		for _, e := range l {
			if e.name == report.Server {
				e.load = report.Running + report.Waiting
			}
		}
	}
}

// Wake implements sardineknot.Scheduler. It has no effect.
func (s *Scheduler) Wake(time.Time) []sardineknot.Decision { return nil }

// NextWake implements sardineknot.Scheduler. It returns the zero time.
func (s *Scheduler) NextWake() time.Time { return time.Time{} }
