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

// Durations, in heartbeats.
const (
	// settlingHeartbeats is the time that a new owner of a shard waits for
	// other hosts to announce the jobs of the shard, or to register the answer
	// records of the shard again.
	settlingHeartbeats = 2
	// graceHeartbeats is the time for which engines keep the requests of a dead
	// host, so that its callers can resume them on other hosts.
	graceHeartbeats = 5
	// requestHeartbeats is the interval at which the requests that an engine
	// holds are listed.
	requestHeartbeats = 5
)

// addSlots creates the slot pool, which grants engines to jobs, and the watcher
// of the engines.
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
		SettlingTime:    settlingHeartbeats * p.settings.Heartbeat,
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
		RequestInterval: requestHeartbeats * p.settings.Heartbeat,
		Log:             p.log,
	}
	p.tasks = append(p.tasks, o.Run, w.Run, p.refreshLiveness)
}

// refreshLiveness updates the liveness tracker on every change of the
// membership until ctx is done. It always returns nil.
func (p *Process) refreshLiveness(ctx context.Context) error {
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
