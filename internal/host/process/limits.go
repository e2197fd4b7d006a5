package process

import (
	"sardineknot.example/sardineknot/internal/host/boottime"
	"sardineknot.example/sardineknot/internal/limits/contracts"
	"sardineknot.example/sardineknot/internal/limits/credit"
	"sardineknot.example/sardineknot/internal/limits/owner"
	"sardineknot.example/sardineknot/internal/limits/rank"
	"sardineknot.example/sardineknot/internal/limits/twirp"
)

// addLimits creates the limiter that enforces the rate limits of client
// accounts.
func (p *Process) addLimits() {
	h := rank.Live(p.members)
	k := rank.NewRanker(h)
	o := owner.NewOwner(boottime.Clock{}, h, k, contracts.Limits(p.source))
	c := &twirp.Client{Hosts: h, Ranker: k, Owner: o, Clock: boottime.Clock{}, HTTP: p.peers.Client(), Log: p.log, Metrics: p.metrics}
	l := &credit.Limiter{Clock: boottime.Clock{}, Source: c, Hosts: h, Whole: true, Metrics: p.metrics}
	p.limiter = contracts.NewLimiter(l)
	p.peerMux.Handle(c.Handler())
	p.tasks = append(p.tasks, o.Run, l.Run)
}
