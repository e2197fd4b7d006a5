package process

import (
	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/roundrobin"
	"sardineknot.example/sardineknot/internal/slots/local"
)

// addSlots assembles what grants engines.
func (p *Process) addSlots() {
	o := local.NewOwner(p.clock, p.source, func(sardineknot.PoolName) sardineknot.Scheduler {
		return &roundrobin.Scheduler{}
	})
	p.slots = o
	p.tasks = append(p.tasks, o.Run)
}
