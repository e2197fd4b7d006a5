package gossip

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	api "sardineknot.example/sardineknot/internal/rpc/membership"
)

// maxRecords is the maximum number of records in a message.
const maxRecords = 12

// cluster is a set of views that exchange records in virtual time.
type cluster struct {
	now        time.Time
	views      []*View
	down       map[string]bool
	nextFinger int
	// records counts the records in all messages.
	records int
}

func newCluster(n int) *cluster {
	c := &cluster{now: start, down: make(map[string]bool)}
	var l []*api.Member
	for i := range n {
		c.views = append(c.views, newView(i))
		l = append(l, host(i, 1, sardineknot.EntryHostAlive))
	}
	for _, v := range c.views {
		v.Merge(start, l)
		v.queue = make(map[string]*change)
	}
	return c
}

// round advances the time by one interval, in which every live view exchanges
// records with two of its fingers.
func (c *cluster) round() {
	c.now = c.now.Add(interval)
	for _, v := range c.views {
		if c.down[v.selfKey] {
			continue
		}
		v.Advance(c.now, true)
		g := v.Fingers()
		for i := range min(2, len(g)) {
			c.exchange(v, g[(c.nextFinger+i)%len(g)])
		}
	}
	c.nextFinger += 2
}

// exchange exchanges records between v and the view of host m. If m is down, v
// marks it suspect instead.
func (c *cluster) exchange(v *View, m *api.Member) {
	if c.down[m.GetId()] {
		v.Suspect(c.now, sardineknot.EntryHostID(m.GetId()), m.GetIncarnation())
		return
	}
	for _, o := range c.views {
		if o.selfKey == m.GetId() {
			l := v.Changes(maxRecords)
			o.Merge(c.now, l)
			r := o.Changes(maxRecords)
			v.Merge(c.now, r)
			c.records += len(l) + len(r)
		}
	}
}

// converged reports whether in every live view exactly the hosts that are down
// are dead and no host is suspect.
func (c *cluster) converged() bool {
	for _, v := range c.views {
		if c.down[v.selfKey] {
			continue
		}
		for k, e := range v.entries {
			if (state(e.record) == sardineknot.EntryHostDead) != c.down[k] || state(e.record) == sardineknot.EntryHostSuspect {
				return false
			}
		}
	}
	return true
}

// TestDeathsSpread checks that all deaths are known to every live host after a
// bounded number of rounds, that no live host is declared dead, and that the
// number of records sent stays bounded.
func TestDeathsSpread(t *testing.T) {
	for _, x := range []struct {
		name        string
		hosts, dead int
		// maxRounds limits the rounds until the views converge. maxSent limits
		// the number of records that one host sends in these rounds.
		maxRounds, maxSent int
	}{
		{"one of eight", 8, 1, 20, 20},
		{"one of 360", 360, 1, 40, 60},
		{"a zone of 360", 360, 60, 60, 60 * 60},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newCluster(x.hosts)
			for i := range x.dead {
				c.down[c.views[i*x.hosts/x.dead].selfKey] = true
			}
			n := 0
			for ; !c.converged(); n++ {
				is.New(t).True(n < x.maxRounds) // the views converge in time
				c.round()
			}
			e := c.records / x.hosts
			t.Logf("%d rounds, %d records sent by each host", n, e)
			is.New(t).True(e <= x.maxSent) // dissemination is bounded
		})
	}
}

func TestFullExchangeRepairsViews(t *testing.T) {
	c := newCluster(200)
	a, b := c.views[0], c.views[1]
	b.Merge(start, []*api.Member{host(7, 2, sardineknot.EntryHostAlive)})
	a.Merge(start, []*api.Member{host(9, 1, sardineknot.EntryHostDead)})
	for p, q := "", "x"; q != ""; p = q {
		var l []*api.Member
		l, q = b.Page(p)
		is.New(t).True(len(l) <= pageSize)
		a.Merge(start, l)
		a.QueueMissing(l, p, q)
	}
	b.Merge(start, a.Changes(maxRecords))
	is.New(t).Equal(a.Digest(), b.Digest())
	checkState(t, a, start, 7, sardineknot.EntryHostAlive)
	checkState(t, b, start, 9, sardineknot.EntryHostDead)
}

func TestDeathIsResentToStalePeer(t *testing.T) {
	c := newCluster(3)
	a, b := c.views[0], c.views[1]
	a.Merge(start, []*api.Member{host(2, 1, sardineknot.EntryHostDead)})
	a.queue = make(map[string]*change)
	a.Merge(start, []*api.Member{b.entries["entry-2"].record})
	b.Merge(start, a.Changes(maxRecords))
	checkState(t, b, start, 2, sardineknot.EntryHostDead)
}
