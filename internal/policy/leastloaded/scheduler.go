// Package leastloaded is a baseline scheduler: it takes the engines that were
// reported least loaded and starts every prefill at once.
package leastloaded

import (
	"time"

	"sardineknot.example/sardineknot"
)

// retryAfter is the time that callers wait for engines to join.
const retryAfter = time.Second

// Scheduler is a sardineknot.Scheduler. It knows the load of engines from
// reports only, which lag.
type Scheduler struct {
	prefill []*engine
	decode  []*engine
	// turn decides between engines with equal load.
	turn int
}

type engine struct {
	name  sardineknot.BackendServerName
	slots int
	load  int
}

var _ sardineknot.Scheduler = (*Scheduler)(nil)

// SetServers implements sardineknot.Scheduler.
func (s *Scheduler) SetServers(_ time.Time, l []sardineknot.BackendServer, _ []sardineknot.Link) []sardineknot.Decision {
	o := append(s.prefill, s.decode...)
	s.prefill, s.decode = nil, nil
	for _, b := range l {
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
func (s *Scheduler) Submit(_ time.Time, j sardineknot.Job) []sardineknot.Decision {
	if len(s.prefill) == 0 || len(s.decode) == 0 {
		return []sardineknot.Decision{{
			Key:        j.Key,
			Action:     sardineknot.ActionRefuse,
			Reason:     "no engine serves " + string(j.Pool),
			RetryAfter: retryAfter,
		}}
	}
	s.turn++
	return []sardineknot.Decision{
		{Key: j.Key, Action: sardineknot.ActionPrefill, Server: s.least(s.prefill)},
		{Key: j.Key, Action: sardineknot.ActionDecode, Server: s.least(s.decode)},
	}
}

func (s *Scheduler) least(l []*engine) sardineknot.BackendServerName {
	b := l[s.turn%len(l)]
	for i := range l {
		e := l[(s.turn+i)%len(l)]
		if e.load*b.slots < b.load*e.slots {
			b = e
		}
	}
	return b.name
}

// Report implements sardineknot.Scheduler. It has no effect.
func (s *Scheduler) Report(time.Time, sardineknot.JobEvent) []sardineknot.Decision { return nil }

// Observe implements sardineknot.Scheduler.
func (s *Scheduler) Observe(_ time.Time, r sardineknot.LoadReport) {
	for _, l := range [][]*engine{s.prefill, s.decode} {
		for _, e := range l {
			if e.name == r.Server {
				e.load = r.Running + r.Waiting
			}
		}
	}
}

// Wake implements sardineknot.Scheduler. It has no effect.
func (s *Scheduler) Wake(time.Time) []sardineknot.Decision { return nil }

// NextWake implements sardineknot.Scheduler. It returns the zero time.
func (s *Scheduler) NextWake() time.Time { return time.Time{} }
