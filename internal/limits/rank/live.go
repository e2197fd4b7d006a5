package rank

import "sardineknot.example/sardineknot"

// live presents the hosts of a membership without a key-value service as registered.
type live struct {
	sardineknot.Membership
}

// Live returns the hosts of m as registrations, for a deployment whose membership is
// kept by heartbeats.
func Live(m sardineknot.Membership) sardineknot.Registrations { return live{m} }

// Registered implements sardineknot.Registrations.
func (l live) Registered() (hosts []sardineknot.EntryHost, drops uint64) { return l.Hosts(), 0 }
