// Package roundrobin implements a baseline scheduler that assigns engines in
// turn and starts every prefill at once, regardless of their load.
package roundrobin

import (
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/leastloaded"
)

// Scheduler is a sardineknot.Scheduler. It is the scheduler of package
// leastloaded without load reports: to it all engines have equal load, and it
// takes them in turn. The zero value has no servers.
type Scheduler struct{ leastloaded.Scheduler }

var _ sardineknot.Scheduler = (*Scheduler)(nil)

// ObserveLoad implements sardineknot.Scheduler. It has no effect.
func (s *Scheduler) ObserveLoad(time.Time, sardineknot.LoadReport) {}
