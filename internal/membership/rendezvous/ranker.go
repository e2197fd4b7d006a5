// Package rendezvous assigns shards to live entry hosts by rendezvous hashing.
//
// A shard moves only when its owner fails or a new host ranks higher for the
// shard, and the shards of a dead host are spread over all remaining hosts. See
// Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
package rendezvous

import (
	"github.com/cespare/xxhash/v2"

	"sardineknot.example/sardineknot"
)

// Ranker implements sardineknot.Ranker over a membership. It is safe for
// concurrent use.
type Ranker struct {
	members sardineknot.Membership
}

var _ sardineknot.Ranker = (*Ranker)(nil)

// NewRanker returns a ranker over the hosts of m that are alive or suspect.
// Hosts in other states own no shards.
func NewRanker(m sardineknot.Membership) *Ranker {
	return &Ranker{members: m}
}

// Owner implements sardineknot.Ranker.
func (r *Ranker) Owner(shard string) (h sardineknot.EntryHost, ok bool) {
	var m uint64
	for _, e := range r.members.Hosts() {
		if e.State != sardineknot.EntryHostAlive && e.State != sardineknot.EntryHostSuspect {
			continue
		}
		w := Weight(shard, e.ID)
		if !ok || w > m {
			h, m, ok = e, w, true
		}
	}
	return h, ok
}

// Weight returns the rendezvous weight of host e for shard. The host with the
// greatest weight owns the shard.
func Weight(shard string, e sardineknot.EntryHostID) uint64 {
	return xxhash.Sum64String(shard + "\x00" + string(e))
}
