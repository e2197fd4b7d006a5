// Package rank orders the entry hosts that may own the limit of a client account, by
// rendezvous hashing over the hosts as registered in the platform's key-value
// service.
//
// Local exclusions do not count: a host that stops answering one other host would
// otherwise lose its limits at that host only, and two owners would grant at the
// full rate.
package rank

import (
	"cmp"
	"slices"
	"sync"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
)

const (
	// shardPrefix is the prefix of the shard name of an account.
	shardPrefix = "limit/"
	// depth is the number of hosts in an order. It bounds the owners that may be
	// lost at once until the service drops them.
	depth = 4
	// maxOrders bounds the orders that are kept.
	maxOrders = 4096
)

// Ranker orders the owners of limits. It is safe for concurrent use.
type Ranker struct {
	hosts sardineknot.Registrations

	mu sync.Mutex
	// list is the list of hosts that orders were computed from.
	list   []sardineknot.EntryHost
	orders map[sardineknot.ClientAccountName][]sardineknot.EntryHost
}

// NewRanker returns a ranker over the hosts that r lists.
func NewRanker(r sardineknot.Registrations) *Ranker {
	return &Ranker{hosts: r, orders: make(map[sardineknot.ClientAccountName][]sardineknot.EntryHost)}
}

// Order returns the hosts that rank highest for the limit of account, the owner
// first. It is empty if no host is registered. Callers must not modify it.
func (r *Ranker) Order(account sardineknot.ClientAccountName) []sardineknot.EntryHost {
	l, _ := r.hosts.Registered()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Equal(l, r.list) {
		r.list = l
		clear(r.orders)
	}
	o, ok := r.orders[account]
	if ok {
		return o
	}
	if len(r.orders) >= maxOrders {
		clear(r.orders)
	}
	o = highest(l, account)
	r.orders[account] = o
	return o
}

// highest returns the hosts of list that rank highest for account.
func highest(list []sardineknot.EntryHost, account sardineknot.ClientAccountName) []sardineknot.EntryHost {
	l := rendezvous.Strongest(list)
	s := shardPrefix + string(account)
	slices.SortFunc(l, func(a, b sardineknot.EntryHost) int {
		return cmp.Compare(rendezvous.Weight(s, b.ID), rendezvous.Weight(s, a.ID))
	})
	return slices.Clone(l[:min(len(l), depth)])
}
