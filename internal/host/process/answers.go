package process

import (
	"context"
	"math/rand/v2"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/cancel"
	"sardineknot.example/sardineknot/internal/answer/generation"
	"sardineknot.example/sardineknot/internal/answer/h2c"
	"sardineknot.example/sardineknot/internal/answer/ownership"
	"sardineknot.example/sardineknot/internal/answer/pause"
	"sardineknot.example/sardineknot/internal/answer/registry"
	"sardineknot.example/sardineknot/internal/answer/twirp"
	"sardineknot.example/sardineknot/internal/backend/budget"
)

const (
	// retryRatio and retryBurst limit the attempts of generations after the
	// first: the retry budget holds up to retryBurst retries, and each first
	// attempt adds retryRatio retries to it.
	retryRatio = 0.1
	retryBurst = 20
	// pauseHeartbeats is a duration in heartbeats. After a pause of this process
	// for at least that long, other hosts may consider the host dead.
	pauseHeartbeats = 2
	// unregisterTimeout bounds the attempt to mark the directory's record of an
	// answer as ended.
	unregisterTimeout = 10 * time.Second
)

// answers holds the components that produce and relay the answers to
// generations.
type answers struct {
	registry *registry.Registry
	runner   *generation.Runner
	relay    *h2c.Relay
}

// addAnswers creates the components that produce answers to generations and
// locate them across all entry hosts.
func (p *Process) addAnswers() {
	u := pause.NewDetector(p.clock, pauseHeartbeats*p.settings.Heartbeat)
	d := &twirp.Directory{
		Members:      p.members,
		Ranker:       p.ranker,
		IsDead:       p.liveness.Dead,
		Clock:        p.clock,
		Client:       p.peers.Client(),
		SettlingTime: settlingHeartbeats * p.settings.Heartbeat,
	}
	c := &ownership.Checker{PauseDetector: u, Directory: d, LocalRecord: d.LocalRecord}
	g := registry.NewRegistry(p.settings.ReconnectGrace, p.settings.AnswerRetention, unregisterLocal(d), c.For)
	d.OnDisplaced = g.Displace
	p.answers = answers{
		registry: g,
		runner:   p.newRunner(d, u),
		relay:    &h2c.Relay{Answers: g, Client: p.peers.StreamClient()},
	}
	p.peerMux.Handle(d.Handler())
	p.peerMux.Handle("GET "+h2c.Path, p.guard.Track(p.answers.relay))
	p.tasks = append(p.tasks, d.Run, u.Run)
}

func (p *Process) newRunner(directory sardineknot.AnswerDirectory, detector *pause.Detector) *generation.Runner {
	n := uint64(p.self.Incarnation)
	return &generation.Runner{
		Self:          p.members.Self,
		Engine:        p.engine,
		Slots:         p.slots,
		Directory:     directory,
		Configuration: p.source,
		Cancellations: &cancel.Queue{Self: p.self.ID, Engine: p.engine, Log: p.log},
		Retries:       budget.NewBudget(retryRatio, retryBurst),
		PauseDetector: detector,
		Clock:         p.clock,
		Random:        rand.New(rand.NewPCG(n, n+1)),
		Log:           p.log,
	}
}

// unregisterLocal returns a function that marks this host's record of the
// answer to a request as ended. It does so in the background and returns
// immediately.
func unregisterLocal(directory *twirp.Directory) func(sardineknot.RequestKey) {
	return func(k sardineknot.RequestKey) {
		r, ok := directory.LocalRecord(k)
		if !ok {
			return
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
			defer cancel()
			directory.Unregister(ctx, r)
		}()
	}
}
