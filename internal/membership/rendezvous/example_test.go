package rendezvous_test

import (
	"fmt"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
)

// members is a fake membership. Hosts returns the field hosts.
type members struct {
	sardineknot.Membership
	hosts []sardineknot.EntryHost
}

func (m *members) Hosts() []sardineknot.EntryHost { return m.hosts }

func ExampleRanker() {
	m := &members{hosts: []sardineknot.EntryHost{{ID: "entry-1"}, {ID: "entry-2"}, {ID: "entry-3"}}}
	r := rendezvous.NewRanker(m)
	owner := func() []sardineknot.EntryHostID {
		var l []sardineknot.EntryHostID
		for _, s := range []string{"a", "b", "c", "d", "e", "f"} {
			h, _ := r.Owner(s)
			l = append(l, h.ID)
		}
		return l
	}
	fmt.Println(owner())
	m.hosts[1].State = sardineknot.EntryHostDead // only the shards of entry-2 move
	fmt.Println(owner())
	// Output:
	// [entry-1 entry-3 entry-1 entry-1 entry-2 entry-2]
	// [entry-1 entry-3 entry-1 entry-1 entry-1 entry-1]
}
