// Package httpsd takes the membership from the platform's host list alone. It
// is the baseline for membership by heartbeats: it lags as the list does.
package httpsd

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

// List is a sardineknot.Membership. It is safe for concurrent use.
type List struct {
	self sardineknot.EntryHost
	list sardineknot.HostList

	mu sync.Mutex
	// hosts is ordered by ID and contains self.
	hosts []sardineknot.EntryHost
	// changed is closed and replaced at every change.
	changed chan struct{}
}

var _ sardineknot.Membership = (*List)(nil)

// NewList returns a membership of self alone, until Run has read l.
func NewList(self sardineknot.EntryHost, l sardineknot.HostList) *List {
	return &List{self: self, list: l, hosts: []sardineknot.EntryHost{self}, changed: make(chan struct{})}
}

// Run reads the list every interval until ctx is done.
func (l *List) Run(ctx context.Context, interval time.Duration) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		h, err := l.list.Fetch(ctx)
		if err == nil {
			l.set(h)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Self implements sardineknot.Membership.
func (l *List) Self() sardineknot.EntryHost { return l.self }

// Hosts implements sardineknot.Membership.
func (l *List) Hosts() []sardineknot.EntryHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.hosts)
}

// Isolated implements sardineknot.Membership. It is always false.
func (l *List) Isolated() bool { return false }

// Changed implements sardineknot.Membership.
func (l *List) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *List) set(h []sardineknot.ListedHost) {
	r := []sardineknot.EntryHost{l.self}
	for _, e := range h {
		if e.Role == sardineknot.ListedEntryHost && e.Name != string(l.self.ID) {
			r = append(r, entryHost(e))
		}
	}
	slices.SortFunc(r, func(a, b sardineknot.EntryHost) int { return strings.Compare(string(a.ID), string(b.ID)) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Equal(r, l.hosts) {
		return
	}
	l.hosts = r
	close(l.changed)
	l.changed = make(chan struct{})
}

func entryHost(e sardineknot.ListedHost) sardineknot.EntryHost {
	s := sardineknot.EntryHostAlive
	if e.Leaving {
		s = sardineknot.EntryHostLeaving
	}
	return sardineknot.EntryHost{
		ID:            sardineknot.EntryHostID(e.Name),
		Incarnation:   1,
		CallerAddress: e.Address,
		PeerAddress:   e.PeerAddress,
		Zone:          e.Zone,
		State:         s,
	}
}
