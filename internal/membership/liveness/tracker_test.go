package liveness_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/membership/liveness"
)

// members is a fake membership. Hosts returns the hosts that the test sets.
type members struct {
	sardineknot.Membership
	hosts []sardineknot.EntryHost
}

func (*members) Self() sardineknot.EntryHost {
	return sardineknot.EntryHost{ID: "self", Incarnation: 5}
}
func (m *members) Hosts() []sardineknot.EntryHost { return m.hosts }

func TestDead(t *testing.T) {
	for _, c := range []struct {
		name        string
		host        sardineknot.EntryHostID
		incarnation sardineknot.Incarnation
		wait        time.Duration
		want        bool
	}{
		{"member is live", "live", 3, 0, false},
		{"later incarnation of a member is live", "live", 9, 0, false},
		{"earlier incarnation is dead", "live", 2, 0, true},
		{"former member is dead", "gone", 3, 0, true},
		{"member marked dead is dead", "marked", 3, 0, true},
		{"this host is live", "self", 5, 0, false},
		{"earlier incarnation of this host is dead", "self", 4, 0, true},
		{"unknown host is live at first", "new", 1, 0, false},
		{"unknown host is dead after the timeout", "new", 1, time.Minute, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &members{hosts: []sardineknot.EntryHost{{ID: "gone", Incarnation: 3}}}
				k := liveness.NewTracker(m, clock.System{})
				k.Refresh()
				m.hosts = []sardineknot.EntryHost{{ID: "live", Incarnation: 3}, {ID: "marked", Incarnation: 3, State: sardineknot.EntryHostDead}}
				k.Dead(c.host, c.incarnation)
				time.Sleep(c.wait)
				is.New(t).Equal(k.Dead(c.host, c.incarnation), c.want)
			})
		})
	}
}
