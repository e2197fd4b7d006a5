package gossip

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	api "sardineknot.example/sardineknot/internal/rpc/membership"
)

// limit is the number of records in a message.
const limit = 12

// fleet is a number of views that exchange in virtual time.
type fleet struct {
	now   time.Time
	views []*View
	down  map[string]bool
	turn  int
	// records counts the records in all messages.
	records int
}

func newFleet(n int) *fleet {
	f := &fleet{now: start, down: make(map[string]bool)}
	var l []*api.Member
	for i := range n {
		f.views = append(f.views, newView(i))
		l = append(l, host(i, 1, sardineknot.EntryHostAlive))
	}
	for _, v := range f.views {
		v.Merge(start, l)
		v.queue = make(map[string]*change)
	}
	return f
}

// round lets every view exchange with two of its fingers.
func (f *fleet) round() {
	f.now = f.now.Add(interval)
	for _, v := range f.views {
		if f.down[v.self] {
			continue
		}
		v.Advance(f.now, true)
		g := v.Fingers()
		for i := range min(2, len(g)) {
			f.exchange(v, g[(f.turn+i)%len(g)])
		}
	}
	f.turn += 2
}

func (f *fleet) exchange(v *View, m *api.Member) {
	if f.down[m.GetId()] {
		v.Suspect(f.now, sardineknot.EntryHostID(m.GetId()), m.GetIncarnation())
		return
	}
	for _, o := range f.views {
		if o.self == m.GetId() {
			l := v.Changes(limit)
			o.Merge(f.now, l)
			r := o.Changes(limit)
			v.Merge(f.now, r)
			f.records += len(l) + len(r)
		}
	}
}

// settled reports whether all live views agree that exactly the hosts that are
// down are dead.
func (f *fleet) settled() bool {
	for _, v := range f.views {
		if f.down[v.self] {
			continue
		}
		for k, e := range v.entries {
			if (state(e.record) == sardineknot.EntryHostDead) != f.down[k] || state(e.record) == sardineknot.EntryHostSuspect {
				return false
			}
		}
	}
	return true
}

// TestDeathsSpread checks how many rounds pass until every host knows of all
// deaths, and that nobody else is taken for dead.
func TestDeathsSpread(t *testing.T) {
	for _, c := range []struct {
		name         string
		hosts, dead  int
		rounds, each int
	}{
		{"one of eight", 8, 1, 20, 20},
		{"one of 360", 360, 1, 40, 60},
		{"a zone of 360", 360, 60, 60, 60 * 60},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(c.hosts)
			for i := range c.dead {
				f.down[f.views[i*c.hosts/c.dead].self] = true
			}
			n := 0
			for ; !f.settled(); n++ {
				is.New(t).True(n < c.rounds) // all know of all deaths
				f.round()
			}
			e := f.records / c.hosts
			t.Logf("%d rounds, %d records sent by each host", n, e)
			is.New(t).True(e <= c.each) // no storm of messages
		})
	}
}

func TestPagesRepair(t *testing.T) {
	f := newFleet(200)
	a, b := f.views[0], f.views[1]
	b.Merge(start, []*api.Member{host(7, 2, sardineknot.EntryHostAlive)})
	a.Merge(start, []*api.Member{host(9, 1, sardineknot.EntryHostDead)})
	for p, q := "", "x"; q != ""; p = q {
		var l []*api.Member
		l, q = b.Page(p)
		is.New(t).True(len(l) <= pageMembers)
		a.Merge(start, l)
		a.Compare(l, p, q)
	}
	b.Merge(start, a.Changes(limit))
	is.New(t).Equal(a.Digest(), b.Digest())
	checkState(t, a, start, 7, sardineknot.EntryHostAlive)
	checkState(t, b, start, 9, sardineknot.EntryHostDead)
}

func TestMissedDeathIsToldAgain(t *testing.T) {
	f := newFleet(3)
	a, b := f.views[0], f.views[1]
	a.Merge(start, []*api.Member{host(2, 1, sardineknot.EntryHostDead)})
	a.queue = make(map[string]*change)
	a.Merge(start, []*api.Member{b.entries["entry-2"].record})
	b.Merge(start, a.Changes(limit))
	checkState(t, b, start, 2, sardineknot.EntryHostDead)
}
