package process

import (
	"time"

	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/limits/contracts"
	"sardineknot.example/sardineknot/internal/limits/credit"
	"sardineknot.example/sardineknot/internal/limits/owner"
	"sardineknot.example/sardineknot/internal/limits/rank"
	"sardineknot.example/sardineknot/internal/limits/twirp"
)

// permitLifetime is longer than the default, so that an account with few requests a
// second does not cost a message for each.
const permitLifetime = 500 * time.Millisecond

// addLimits creates the limiter that enforces the rate limits of client
// accounts.
func (p *Process) addLimits() {
	h := rank.Live(p.members)
	k := rank.NewRanker(h)
	o := owner.NewOwner(clock.System{}.SinceBootClock(), h, k, contracts.Limits(p.source))
	o.StartFull = true
	c := &twirp.Client{Hosts: h, Ranker: k, Owner: o, Clock: clock.System{}.SinceBootClock(), HTTP: p.peers.Client(), Log: p.log, Metrics: p.metrics}
	l := &credit.Limiter{Clock: clock.System{}.SinceBootClock(), Source: c, Hosts: h, Whole: true, Lifetime: permitLifetime, Metrics: p.metrics}
	p.limiter = contracts.NewLimiter(l)
	p.peerMux.Handle(c.Handler())
	p.tasks = append(p.tasks, o.Run, l.Run)
}
