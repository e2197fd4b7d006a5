package process

import "sardineknot.example/sardineknot/internal/claims/direct"

// addClaims assembles what records unrepeatable requests.
func (p *Process) addClaims() {
	p.claims = direct.NewLedger(p.store)
}
