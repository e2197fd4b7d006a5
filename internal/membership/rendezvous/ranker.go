// Package rendezvous ranks live entry hosts for shards by rendezvous hashing.
//
// A shard moves only when its first host dies or a new host ranks before it,
// and the shards of a dead host spread over all others. Source: Thaler and
// Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
package rendezvous

import (
	"github.com/cespare/xxhash/v2"

	"sardineknot.example/sardineknot"
)

// Ranker is a sardineknot.Ranker over a membership. It is safe for concurrent
// use.
type Ranker struct {
	members sardineknot.Membership
}

var _ sardineknot.Ranker = (*Ranker)(nil)

// NewRanker returns a ranker of the hosts in m that own shards: those that are
// alive or suspect.
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

// Weight returns the weight of host e for shard. The greatest weight ranks
// first.
func Weight(shard string, e sardineknot.EntryHostID) uint64 {
	return xxhash.Sum64String(shard + "\x00" + string(e))
}
