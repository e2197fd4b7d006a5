package process

import (
	"context"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/liveness"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
	"sardineknot.example/sardineknot/internal/membership/twirp"
	api "sardineknot.example/sardineknot/internal/rpc/membership"
)

// addMembership creates the components that track which entry hosts are live.
func (p *Process) addMembership() {
	n := twirp.NewNode(p.self, p.clock, p.settings.Heartbeat, p.metrics)
	n.Client = p.peers.Client()
	n.PlatformHosts = p.hosts
	n.Log = p.log
	n.CheckStore = p.checkStore
	n.Revision = p.revision
	p.node = n
	p.members = n
	p.ranker = rendezvous.NewRanker(n)
	p.liveness = liveness.NewTracker(n, p.clock)
	s := api.NewMembershipServer(n)
	p.peerMux.Handle(s.PathPrefix(), s)
	p.tasks = append(p.tasks, n.Run)
}

// checkStore returns an error if the key-value service does not answer.
func (p *Process) checkStore(ctx context.Context) error {
	_, err := p.store.Get(ctx, sardineknot.ConfigurationHeadKey)
	return err
}

func (p *Process) revision() sardineknot.Revision { return p.source.Current().Revision }
