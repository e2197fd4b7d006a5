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
	l := r.members.Hosts()
	n := minCapacity(l)
	b := -1
	var m uint64
	for i := range l {
		if !isStrong(&l[i], n) {
			continue
		}
		if w := Weight(shard, l[i].ID); b < 0 || w > m {
			b, m = i, w
		}
	}
	if b < 0 {
		return sardineknot.EntryHost{}, false
	}
	return l[b], true
}

// Strongest returns those of hosts that are alive or suspect and have at least
// half of the processor capacity of the strongest of these. Hosts of unknown
// capacity are left out if any host has a known one. The result is a new slice
// in the order of hosts.
func Strongest(hosts []sardineknot.EntryHost) []sardineknot.EntryHost {
	n := minCapacity(hosts)
	r := make([]sardineknot.EntryHost, 0, len(hosts))
	for i := range hosts {
		if isStrong(&hosts[i], n) {
			r = append(r, hosts[i])
		}
	}
	return r
}

// minCapacity returns the least processor capacity of a strong host among hosts.
func minCapacity(hosts []sardineknot.EntryHost) float64 {
	var m float64
	for i := range hosts {
		if isLive(&hosts[i]) {
			m = max(m, hosts[i].Processor)
		}
	}
	return strongShare * m
}

// isStrong reports whether host is live and has at least the given capacity.
func isStrong(host *sardineknot.EntryHost, capacity float64) bool {
	return isLive(host) && host.Processor >= capacity
}

func isLive(host *sardineknot.EntryHost) bool {
	return host.State == sardineknot.EntryHostAlive || host.State == sardineknot.EntryHostSuspect
}

// maxNames is the length of the names of a shard and a host that are hashed without
// an allocation.
const maxNames = 128

// Weight returns the rendezvous weight of host e for shard. The host with the
// greatest weight owns the shard.
func Weight(shard string, e sardineknot.EntryHostID) uint64 {
	var a [maxNames]byte
	b := append(append(append(a[:0], shard...), 0), e...)
	return xxhash.Sum64(b)
}
