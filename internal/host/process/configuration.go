package process

import (
	"context"

	"sardineknot.example/sardineknot/internal/configuration/etcd"
)

// addConfiguration assembles what keeps the accepted configuration in force.
func (p *Process) addConfiguration() {
	s := etcd.NewSource(p.store, p.log)
	p.source = s
	p.tasks = append(p.tasks, func(ctx context.Context) error { return s.Run(ctx, p.settings.Heartbeat) })
}
