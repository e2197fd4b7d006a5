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
	// retryShare and retryBurst bound the attempts after the first.
	retryShare = 0.1
	retryBurst = 20
	// pauseHeartbeats is the time, in heartbeats, from which on a pause of
	// this process may have been taken for its death.
	pauseHeartbeats = 2
	// forgetTimeout bounds the time to have a record marked as ended.
	forgetTimeout = 10 * time.Second
)

// answers is what produces answers to generations and passes them on.
type answers struct {
	registry *registry.Registry
	runner   *generation.Runner
	relay    *h2c.Relay
}

// addAnswers assembles what produces answers to generations and finds them over
// all entry hosts.
func (p *Process) addAnswers() {
	u := pause.NewDetector(p.clock, pauseHeartbeats*p.settings.Heartbeat)
	d := &twirp.Directory{
		Members:      p.members,
		Ranker:       p.ranker,
		IsDead:       p.liveness.Dead,
		Clock:        p.clock,
		Client:       p.peers.Client(),
		SettlingTime: settleHeartbeats * p.settings.Heartbeat,
	}
	c := &ownership.Checker{PauseDetector: u, Directory: d, LocalRecord: d.LocalRecord}
	g := registry.NewRegistry(p.settings.ReconnectGrace, p.settings.AnswerRetention, forget(d), c.For)
	d.OnDisplaced = g.Displace
	p.answers = answers{
		registry: g,
		runner:   p.newRunner(d, u),
		relay:    &h2c.Relay{Answers: g, Client: p.peers.Client()},
	}
	p.peerMux.Handle(d.Handler())
	p.peerMux.Handle("GET "+h2c.Path, p.guard.Track(p.answers.relay))
	p.tasks = append(p.tasks, d.Run, u.Run)
}

func (p *Process) newRunner(d sardineknot.AnswerDirectory, u *pause.Detector) *generation.Runner {
	n := uint64(p.self.Incarnation)
	return &generation.Runner{
		Self:          p.members.Self,
		Engine:        p.engine,
		Slots:         p.slots,
		Directory:     d,
		Configuration: p.source,
		Cancellations: &cancel.Queue{Self: p.self.ID, Engine: p.engine, Log: p.log},
		Retries:       budget.NewBudget(retryShare, retryBurst),
		PauseDetector: u,
		Clock:         p.clock,
		Random:        rand.New(rand.NewPCG(n, n+1)),
		Log:           p.log,
	}
}

// forget returns a function that has the record of this host marked as ended in
// the background.
func forget(d *twirp.Directory) func(sardineknot.RequestKey) {
	return func(k sardineknot.RequestKey) {
		r, ok := d.LocalRecord(k)
		if !ok {
			return
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), forgetTimeout)
			defer cancel()
			d.Unregister(ctx, r)
		}()
	}
}
