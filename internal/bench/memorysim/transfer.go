package memorysim

import (
	"time"

	"sardineknot.example/sardineknot"
)

// reserveTransfer reserves the links of the attempt's engines for the transfer
// of its KV cache and returns the time until the transfer is complete. ok is
// false, and nothing is reserved, if the transfer would have to wait longer
// than MaxTransferWait.
func (s *Simulation) reserveTransfer(a *attempt) (duration time.Duration, ok bool) {
	if s.ideal {
		return 0, true
	}
	u, v := a.prefill.server, a.decode.server
	duration = s.pattern.TransferSetup + time.Duration(a.job.PromptTokens)*s.pattern.TransferPerToken
	if u.Zone != v.Zone {
		duration *= time.Duration(s.pattern.CrossZoneFactor)
	}
	duration = time.Duration(float64(duration) * max(1, s.linkFactor[u.Name], s.linkFactor[v.Name]))
	n := s.Now()
	t := n
	for _, e := range []sardineknot.BackendServerName{u.Name, v.Name} {
		if s.linkFreeAt[e].After(t) {
			t = s.linkFreeAt[e]
		}
	}
	if t.Sub(n) > s.pattern.MaxTransferWait {
		return 0, false
	}
	s.linkFreeAt[u.Name], s.linkFreeAt[v.Name] = t.Add(duration), t.Add(duration)
	return t.Add(duration).Sub(n), true
}
