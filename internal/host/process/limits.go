package process

import (
	"sardineknot.example/sardineknot/internal/limits/credit"
	"sardineknot.example/sardineknot/internal/limits/owner"
	"sardineknot.example/sardineknot/internal/limits/twirp"
	api "sardineknot.example/sardineknot/internal/rpc/limits"
)

// addLimits creates the limiter that enforces the rate limits of client
// accounts.
func (p *Process) addLimits() {
	c := twirp.NewClient(p.self.ID, p.ranker, owner.NewOwner(p.clock, p.source), p.peers)
	p.limiter = credit.NewLimiter(p.clock, c, p.members)
	p.peerMux.Handle(api.LimitsPathPrefix, c.Handler())
}
