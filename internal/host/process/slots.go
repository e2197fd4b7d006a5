package process

import (
	"context"
	"math/rand/v2"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/openai"
	"sardineknot.example/sardineknot/internal/policy/timed"
	slotsopenai "sardineknot.example/sardineknot/internal/slots/openai"
	"sardineknot.example/sardineknot/internal/slots/twirp"
)

// Times in heartbeats.
const (
	// settleHeartbeats is the time that the state of a shard takes to follow
	// it to a new owner.
	settleHeartbeats = 2
	// graceHeartbeats is the time that callers of a dead host have to take
	// over what engines hold for them.
	graceHeartbeats = 5
	// heldHeartbeats is the time between two looks at what an engine holds.
	heldHeartbeats = 5
)

// addSlots assembles what grants engines.
func (p *Process) addSlots() {
	p.engine = openai.NewClient(p.settings.StreamProgress)
	n := uint64(p.self.Incarnation)
	o := &twirp.Pool{
		Members:         p.members,
		Ranker:          p.ranker,
		Source:          p.source,
		Clock:           p.clock,
		Client:          p.peers.Client(),
		CreateScheduler: newScheduler,
		SettlingTime:    settleHeartbeats * p.settings.Heartbeat,
		Random:          rand.New(rand.NewPCG(n, n)),
	}
	p.peerMux.Handle(o.Handler())
	p.slots = o
	w := &slotsopenai.Watcher{
		Engine:          p.engine,
		OwnedShards:     o.OwnedShards,
		IsDead:          p.liveness.Dead,
		Clock:           p.clock,
		GracePeriod:     graceHeartbeats * p.settings.Heartbeat,
		LoadInterval:    p.settings.Heartbeat,
		RequestInterval: heldHeartbeats * p.settings.Heartbeat,
		Log:             p.log,
	}
	p.tasks = append(p.tasks, o.Run, w.Run, p.followLiveness)
}

// followLiveness has the tracker see every change of the membership.
func (p *Process) followLiveness(ctx context.Context) error {
	for {
		c := p.members.Changed()
		p.liveness.Refresh()
		select {
		case <-c:
		case <-ctx.Done():
			return nil
		}
	}
}

// newScheduler returns the scheduler of a pool shard.
func newScheduler(sardineknot.PoolName) sardineknot.Scheduler {
	return timed.NewScheduler()
}
