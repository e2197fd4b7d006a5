package process

import (
	"context"

	"sardineknot.example/sardineknot/internal/configuration/etcd"
	"sardineknot.example/sardineknot/internal/configuration/httpsd"
	"sardineknot.example/sardineknot/internal/configuration/revision"
	"sardineknot.example/sardineknot/internal/configuration/twirp"
	api "sardineknot.example/sardineknot/internal/rpc/configuration"
)

// readHeartbeats is the interval, in heartbeats, at which the head of the
// configuration is read from the store.
const readHeartbeats = 5

// addConfiguration creates the components that keep the accepted configuration
// in force on this host.
func (p *Process) addConfiguration() {
	t := revision.NewTracker()
	s := p.addSyncer(t)
	p.addReader(t, s)
	o := &httpsd.Overlay{
		Source:         t,
		LeavingServers: p.node.LeavingBackends,
		LeavingChanged: p.node.Changed,
		Log:            p.log,
	}
	p.source = o
	p.tasks = append(p.tasks, o.Run)
}

// addSyncer creates the syncer that exchanges revisions with other entry hosts.
func (p *Process) addSyncer(tracker *revision.Tracker) *twirp.Syncer {
	s := twirp.NewSyncer(p.metrics)
	s.Tracker = tracker
	s.Client = p.peers.Client()
	s.Self = p.node.Self
	s.Fingers = p.node.Fingers
	s.Log = p.log
	p.node.RevisionReported = s.FetchNewer
	h := api.NewConfigurationServer(s)
	p.peerMux.Handle(h.PathPrefix(), h)
	return s
}

// addReader creates the reader that reads new revisions from the store and
// offers them to syncer.
func (p *Process) addReader(tracker *revision.Tracker, syncer *twirp.Syncer) {
	r := etcd.NewReader(p.metrics)
	r.Store = p.store
	r.Tracker = tracker
	r.Offer = syncer.Offer
	r.ShouldRead = func() bool { return p.node.Joined() && p.node.IsReader(p.self.Zone) }
	r.Log = p.log
	p.tasks = append(p.tasks, func(ctx context.Context) error { return r.Run(ctx, readHeartbeats*p.settings.Heartbeat) })
}
