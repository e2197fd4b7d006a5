package process

import (
	"math/rand/v2"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/openai"
	"sardineknot.example/sardineknot/internal/policy/roundrobin"
	"sardineknot.example/sardineknot/internal/slots/twirp"
)

// settleHeartbeats is the time, in heartbeats, that the state of a shard takes
// to follow it to a new owner.
const settleHeartbeats = 2

// addSlots assembles what grants engines.
func (p *Process) addSlots() {
	p.engine = openai.NewClient(p.settings.StreamProgress)
	n := uint64(p.self.Incarnation)
	o := &twirp.Pool{
		Members: p.members,
		Ranker:  p.ranker,
		Source:  p.source,
		Clock:   p.clock,
		Client:  p.peers.Client(),
		Create:  newScheduler,
		Settle:  settleHeartbeats * p.settings.Heartbeat,
		Random:  rand.New(rand.NewPCG(n, n)),
	}
	p.peerMux.Handle(o.Handler())
	p.slots = o
	p.tasks = append(p.tasks, o.Run)
}

// newScheduler returns the scheduler of a pool shard.
func newScheduler(sardineknot.PoolName) sardineknot.Scheduler {
	return &roundrobin.Scheduler{}
}
