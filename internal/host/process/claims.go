package process

import (
	"time"

	"sardineknot.example/sardineknot/internal/claims/groupcommit"
	"sardineknot.example/sardineknot/internal/claims/peer"
)

// claimRetention is the time for which a claim is kept. The identifier of an
// unrepeatable request must not be reused after that time.
const claimRetention = time.Hour

// addClaims creates the ledger that records the claims on unrepeatable
// requests, and registers its handler for other entry hosts.
func (p *Process) addClaims() {
	c := groupcommit.NewLedger(p.store, p.clock, p.self, p.metrics)
	c.Retention = claimRetention
	p.tasks = append(p.tasks, c.Run)
	p.peerMux.Handle(peer.PathPrefix, peer.NewHandler(c))
	p.claims = &peer.Ledger{Self: p.self, Local: c, Ranker: p.ranker, Client: p.peers.Client()}
}
