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
