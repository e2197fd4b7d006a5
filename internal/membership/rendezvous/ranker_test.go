package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
)

// newHosts returns alive hosts with the given processor capacities.
func newHosts(processors ...float64) []sardineknot.EntryHost {
	var l []sardineknot.EntryHost
	for i, p := range processors {
		l = append(l, sardineknot.EntryHost{ID: sardineknot.EntryHostID(fmt.Sprint(i)), Processor: p})
	}
	return l
}

// TestStrongest covers the load "many small entry hosts": an owner works for all
// hosts, and must not be one of the small ones.
func TestStrongest(t *testing.T) {
	for _, c := range []struct {
		name  string
		hosts []sardineknot.EntryHost
		want  int
	}{
		{"strong hosts among weak ones", newHosts(0.2, 0.8, 0.2, 0.5, 0.2), 2},
		{"equal hosts", newHosts(0.4, 0.4, 0.4), 3},
		{"hosts of unknown capacity", newHosts(0, 0, 0), 3},
		{"no host", nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(len(rendezvous.Strongest(c.hosts)), c.want) })
	}
	t.Run("a strong host that is dead leaves the shards to weak ones", func(t *testing.T) {
		l := newHosts(0.2, 0.8, 0.2)
		l[1].State = sardineknot.EntryHostDead
		is.New(t).Equal(len(rendezvous.Strongest(l)), 2)
	})
}

// TestOwnerWithoutLiveHost guards against shards without an owner while all hosts are
// leaving: what waits at them would get nothing until the hosts have stopped.
func TestOwnerWithoutLiveHost(t *testing.T) {
	for _, c := range []struct {
		name   string
		states []sardineknot.EntryHostState
		want   string
	}{
		{"a live host before those that are leaving", []sardineknot.EntryHostState{sardineknot.EntryHostLeaving, sardineknot.EntryHostAlive}, "1"},
		{"the only host, which is leaving", []sardineknot.EntryHostState{sardineknot.EntryHostLeaving}, "0"},
		{"a dead host beside one that is leaving", []sardineknot.EntryHostState{sardineknot.EntryHostDead, sardineknot.EntryHostLeaving}, "1"},
		{"dead hosts", []sardineknot.EntryHostState{sardineknot.EntryHostDead, sardineknot.EntryHostDead}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newHosts(make([]float64, len(c.states))...)
			for i, s := range c.states {
				l[i].State = s
			}
			h, ok := rendezvous.NewRanker(&members{hosts: l}).Owner("shard")
			is.New(t).Equal(ok, c.want != "")
			is.New(t).Equal(string(h.ID), c.want)
		})
	}
}
