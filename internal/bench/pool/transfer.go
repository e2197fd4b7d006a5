package pool

import (
	"time"

	"sardineknot.example/sardineknot"
)

// transfer returns the time until the KV cache of t has reached its decode engine. ok
// is false if it would wait too long.
func (p *Pool) transfer(t *try) (d time.Duration, ok bool) {
	if p.ideal {
		return 0, true
	}
	a, b := t.prefill.server, t.decode.server
	d = p.pattern.TransferSetup + time.Duration(t.job.PromptTokens)*p.pattern.Transfer
	if a.Zone != b.Zone {
		d *= time.Duration(p.pattern.AcrossZones)
	}
	d = time.Duration(float64(d) * max(1, p.linkFactor[a.Name], p.linkFactor[b.Name]))
	n := p.Now()
	s := n
	for _, e := range []sardineknot.BackendServerName{a.Name, b.Name} {
		if p.linkFree[e].After(s) {
			s = p.linkFree[e]
		}
	}
	if s.Sub(n) > p.pattern.MaxTransferWait {
		return 0, false
	}
	p.linkFree[a.Name], p.linkFree[b.Name] = s.Add(d), s.Add(d)
	return s.Add(d).Sub(n), true
}
