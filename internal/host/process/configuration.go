package process

import (
	"context"

	"sardineknot.example/sardineknot/internal/configuration/etcd"
	"sardineknot.example/sardineknot/internal/configuration/httpsd"
	"sardineknot.example/sardineknot/internal/configuration/revision"
	"sardineknot.example/sardineknot/internal/configuration/twirp"
	api "sardineknot.example/sardineknot/internal/rpc/configuration"
)

// readIntervals is the number of heartbeat intervals between two readings of
// the stored head.
const readIntervals = 5

// addConfiguration assembles what keeps the accepted configuration in force.
func (p *Process) addConfiguration() {
	t := revision.NewTracker()
	s := p.addSpreader(t)
	p.addReader(t, s)
	o := &httpsd.Overlay{
		Source:         t,
		Leaving:        p.node.LeavingBackends,
		LeavingChanged: p.node.Changed,
		Log:            p.log,
	}
	p.source = o
	p.tasks = append(p.tasks, o.Run)
}

func (p *Process) addSpreader(t *revision.Tracker) *twirp.Syncer {
	s := twirp.NewSyncer(p.metrics)
	s.Tracker = t
	s.Client = p.peers.Client()
	s.Self = p.node.Self
	s.Fingers = p.node.Fingers
	s.Log = p.log
	p.node.RevisionReported = s.FetchNewer
	h := api.NewConfigurationServer(s)
	p.peerMux.Handle(h.PathPrefix(), h)
	return s
}

func (p *Process) addReader(t *revision.Tracker, s *twirp.Syncer) {
	r := etcd.NewReader(p.metrics)
	r.Store = p.store
	r.Tracker = t
	r.Offer = s.Offer
	r.ShouldRead = func() bool { return p.node.Joined() && p.node.IsReader(p.self.Zone) }
	r.Log = p.log
	p.tasks = append(p.tasks, func(ctx context.Context) error { return r.Run(ctx, readIntervals*p.settings.Heartbeat) })
}
