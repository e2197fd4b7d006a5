// Package rendezvous assigns shards to live entry hosts by rendezvous hashing.
//
// A shard moves only when its owner fails or a new host ranks higher for the
// shard, and the shards of a dead host are spread over all remaining hosts. See
// Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
//
// Where hosts differ in processor capacity, only the strong ones own shards,
// because an owner works for all hosts.
package rendezvous

import (
	"github.com/cespare/xxhash/v2"

	"sardineknot.example/sardineknot"
)

// strongShare is the capacity of a strong host, relative to the strongest live
// one.
const strongShare = 0.5

// Ranker implements sardineknot.Ranker over a membership. It is safe for
// concurrent use.
type Ranker struct {
	members sardineknot.Membership
}

var _ sardineknot.Ranker = (*Ranker)(nil)

// NewRanker returns a ranker over the strong hosts of m that are alive or
// suspect. Hosts in other states own no shards.
func NewRanker(m sardineknot.Membership) *Ranker {
	return &Ranker{members: m}
}

// Owner implements sardineknot.Ranker.
func (r *Ranker) Owner(shard string) (h sardineknot.EntryHost, ok bool) {
	var m uint64
	for _, e := range Strongest(r.members.Hosts()) {
		w := Weight(shard, e.ID)
		if !ok || w > m {
			h, m, ok = e, w, true
		}
	}
	return h, ok
}

// Strongest returns those of hosts that are alive or suspect and have at least
// half of the processor capacity of the strongest of these. Hosts of unknown
// capacity are left out if any host has a known one. The result is a new slice
// in the order of hosts.
func Strongest(hosts []sardineknot.EntryHost) []sardineknot.EntryHost {
	var m float64
	for _, e := range hosts {
		if isLive(e) {
			m = max(m, e.Processor)
		}
	}
	r := make([]sardineknot.EntryHost, 0, len(hosts))
	for _, e := range hosts {
		if isLive(e) && e.Processor >= strongShare*m {
			r = append(r, e)
		}
	}
	return r
}

func isLive(host sardineknot.EntryHost) bool {
	return host.State == sardineknot.EntryHostAlive || host.State == sardineknot.EntryHostSuspect
}

// Weight returns the rendezvous weight of host e for shard. The host with the
// greatest weight owns the shard.
func Weight(shard string, e sardineknot.EntryHostID) uint64 {
	return xxhash.Sum64String(shard + "\x00" + string(e))
}
