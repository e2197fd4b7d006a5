package twirp

import (
	"context"

	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/quarantine"
)

// send sends what this host has learned to all other hosts. A host that does not
// get it fetches it later.
func (g *Guard) send(ctx context.Context) {
	g.mu.Lock()
	v := g.pending
	g.pending = sardineknot.CrashEvidence{}
	g.mu.Unlock()
	if v.Empty() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m := evidenceMessage(v, g.Clock.Now())
	var l errgroup.Group
	l.SetLimit(maxSends)
	for _, h := range sardineknot.OtherHosts(g.Members) {
		l.Go(func() error {
			_, err := g.client(h).Share(ctx, m)
			g.logFailure(h, err)
			return nil
		})
	}
	_ = l.Wait() // the calls return no error
}

// fetch fetches the evidence of a random other host.
func (g *Guard) fetch(ctx context.Context) {
	l := sardineknot.OtherHosts(g.Members)
	if len(l) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h := l[g.Random.IntN(len(l))]
	g.mu.Lock()
	d := g.evidence.Digest()
	g.mu.Unlock()
	m, err := g.client(h).Fetch(ctx, &rpc.FetchRequest{Digest: d})
	if err != nil {
		g.logFailure(h, err)
		return
	}
	g.learn(m)
}

// learn records what another host has sent.
func (g *Guard) learn(message *rpc.Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addLocked(evidenceFromMessage(message, g.Clock.Now()), g.evidence.AddCrash)
}

// RestoreEvidence implements sardineknot.CrashRecord.
func (g *Guard) RestoreEvidence(evidence sardineknot.CrashEvidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.Clock.Now()
	g.addLocked(evidence, func(c sardineknot.ServerCrash) bool { return g.evidence.RestoreCrash(n, c) })
}

// addLocked records evidence, the crashes of it by addCrash.
func (g *Guard) addLocked(evidence sardineknot.CrashEvidence, addCrash func(sardineknot.ServerCrash) bool) {
	if !evidence.Empty() {
		g.changedLocked()
	}
	for _, s := range evidence.Sound {
		g.evidence.AddSound(s.Trait, s.At)
	}
	for _, s := range evidence.Answered {
		g.evidence.AddAnswered(s.Trait, s.At)
	}
	for _, c := range evidence.Crashes {
		addCrash(c)
	}
	for _, r := range evidence.Running {
		g.evidence.AddRefutation(r)
	}
	for _, q := range evidence.Quarantines {
		g.addQuarantineLocked(g.Clock.Now(), q)
	}
}

// KeptCrashes implements sardineknot.CrashRecord.
func (g *Guard) KeptCrashes() sardineknot.CrashEvidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.Clock.Now()
	if g.keptChanged || n.Sub(g.keptAt) > keptTime {
		g.kept, g.keptAt, g.keptChanged = g.evidence.Kept(n), n, false
	}
	return g.kept
}

// logFailure logs err, with which a call to host failed, unless it is nil.
func (g *Guard) logFailure(host sardineknot.EntryHost, err error) {
	if err != nil {
		g.Log.Debug().Stringer("event", sardineknot.LogEvidenceNotSent).Str("peer", string(host.ID)).Err(err).Send()
	}
}

func (g *Guard) client(host sardineknot.EntryHost) rpc.Quarantines {
	return rpc.NewQuarantinesProtobufClient("http://"+host.PeerAddress.String(), g.Client)
}
