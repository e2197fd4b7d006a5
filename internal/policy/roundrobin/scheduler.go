// Package roundrobin implements a baseline scheduler that assigns engines in
// turn and starts every prefill at once, regardless of their load.
package roundrobin

import (
	"time"

	"sardineknot.example/sardineknot"
)

// retryAfter is the time after which callers may retry while there are no
// engines.
const retryAfter = time.Second

// Scheduler is a sardineknot.Scheduler. The zero value has no servers.
type Scheduler struct {
	prefill []sardineknot.BackendServerName
	decode  []sardineknot.BackendServerName
	// submitted counts the accepted jobs.
	submitted int
}

var _ sardineknot.Scheduler = (*Scheduler)(nil)

// SetServers implements sardineknot.Scheduler.
func (s *Scheduler) SetServers(_ time.Time, servers []sardineknot.BackendServer, _ []sardineknot.Link) []sardineknot.Decision {
	s.prefill = s.prefill[:0]
	s.decode = s.decode[:0]
	for _, b := range servers {
		if b.Role == sardineknot.RolePrefill {
			s.prefill = append(s.prefill, b.Name)
		}
		if b.Role == sardineknot.RoleDecode {
			s.decode = append(s.decode, b.Name)
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
		{Key: job.Key, Action: sardineknot.ActionPrefill, Server: s.prefill[s.submitted%len(s.prefill)]},
		{Key: job.Key, Action: sardineknot.ActionDecode, Server: s.decode[s.submitted%len(s.decode)]},
	}
}

// Report implements sardineknot.Scheduler. It has no effect.
func (s *Scheduler) Report(time.Time, sardineknot.JobEvent) []sardineknot.Decision { return nil }

// ObserveLoad implements sardineknot.Scheduler. It has no effect.
func (s *Scheduler) ObserveLoad(time.Time, sardineknot.LoadReport) {}

// Wake implements sardineknot.Scheduler. It has no effect.
func (s *Scheduler) Wake(time.Time) []sardineknot.Decision { return nil }

// NextWake implements sardineknot.Scheduler. It returns the zero time.
func (s *Scheduler) NextWake() time.Time { return time.Time{} }
