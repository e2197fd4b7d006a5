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
// suspect. Without any such host, those that are leaving own the shards until
// they end: what waits at a shard would get nothing otherwise. Hosts in other
// states own no shards.
func NewRanker(m sardineknot.Membership) *Ranker {
	return &Ranker{members: m}
}

// Owner implements sardineknot.Ranker.
func (r *Ranker) Owner(shard string) (h sardineknot.EntryHost, ok bool) {
	l := r.members.Hosts()
	h, ok = owner(shard, l, isLive)
	if !ok {
		h, ok = owner(shard, l, isLeaving)
	}
	return h, ok
}

// owner returns the owner of shard among the strong ones of the hosts for which in
// returns true.
func owner(shard string, hosts []sardineknot.EntryHost, in func(*sardineknot.EntryHost) bool) (sardineknot.EntryHost, bool) {
	n := minCapacity(hosts, in)
	b := -1
	var m uint64
	for i := range hosts {
		if !in(&hosts[i]) || hosts[i].Processor < n {
			continue
		}
		if w := Weight(shard, hosts[i].ID); b < 0 || w > m {
			b, m = i, w
		}
	}
	if b < 0 {
		return sardineknot.EntryHost{}, false
	}
	return hosts[b], true
}

// Strongest returns those of hosts that are alive or suspect and have at least
// half of the processor capacity of the strongest of these. Hosts of unknown
// capacity are left out if any host has a known one. The result is a new slice
// in the order of hosts.
func Strongest(hosts []sardineknot.EntryHost) []sardineknot.EntryHost {
	n := minCapacity(hosts, isLive)
	r := make([]sardineknot.EntryHost, 0, len(hosts))
	for i := range hosts {
		if isLive(&hosts[i]) && hosts[i].Processor >= n {
			r = append(r, hosts[i])
		}
	}
	return r
}

// minCapacity returns the least processor capacity of a strong host among the hosts
// for which in returns true.
func minCapacity(hosts []sardineknot.EntryHost, in func(*sardineknot.EntryHost) bool) float64 {
	var m float64
	for i := range hosts {
		if in(&hosts[i]) {
			m = max(m, hosts[i].Processor)
		}
	}
	return strongShare * m
}

func isLive(host *sardineknot.EntryHost) bool {
	return host.State == sardineknot.EntryHostAlive || host.State == sardineknot.EntryHostSuspect
}

func isLeaving(host *sardineknot.EntryHost) bool {
	return host.State == sardineknot.EntryHostLeaving
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
