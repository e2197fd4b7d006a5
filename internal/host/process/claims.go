package process

import (
	"sardineknot.example/sardineknot/internal/claims/chain"
	"sardineknot.example/sardineknot/internal/claims/peer"
)

// addClaims assembles what records unrepeatable requests.
func (p *Process) addClaims() {
	c := chain.NewLedger(p.store, p.clock, p.self, p.metrics)
	p.tasks = append(p.tasks, c.Run)
	p.peerMux.Handle(peer.PathPrefix, peer.NewHandler(c))
	p.claims = &peer.Ledger{Self: p.self, Local: c, Ranker: p.ranker, Client: p.peers.Client()}
}
