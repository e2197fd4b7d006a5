package allocator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

const ms = time.Millisecond

// single is a server with six slots whose calls take 60 ms.
var single = []sardineknot.BackendServer{{Name: "a", Slots: 6, Born: 1}}

// load is a load of calls in time within 300 ms, which leave the allocator with one
// full server and a wait up to 180 ms.
type load struct {
	*Allocator
	number uint64
	now    time.Duration
}

func newLoad() *load { return &load{Allocator: NewAllocator()} }

// take requests a place and returns whether it was granted, and the time after which
// to return.
func (l *load) take(change func(*sardineknot.PlaceRequest)) (granted bool, retryAfter time.Duration) {
	l.number++
	q := sardineknot.PlaceRequest{
		ID: sardineknot.PlaceID{Host: "h", Number: l.number}, Target: 300 * ms, Deadline: 800 * ms, CallerDeadline: 1500 * ms,
		Usual: 60 * ms, Trait: sardineknot.Trait(l.number), Cost: 1,
	}
	change(&q)
	d := l.Take(l.now, single, q)
	return d.Server.Name != "", d.RetryAfter
}

// fill takes places until one is refused, and returns how many were granted.
func (l *load) fill(change func(*sardineknot.PlaceRequest)) (granted int) {
	for {
		ok, _ := l.take(change)
		if !ok {
			return granted
		}
		granted++
	}
}

func usual(*sardineknot.PlaceRequest) {}

func urgent(q *sardineknot.PlaceRequest) { q.Priority = -1 }

func from(name string) func(*sardineknot.PlaceRequest) {
	return func(q *sardineknot.PlaceRequest) { q.Account = sardineknot.ClientAccountName(name) }
}

// TestOrder guards against urgent calls that are refused because less urgent ones, or
// those of an account with more than its share, have filled the servers. All places
// are requested within an instant.
func TestOrder(t *testing.T) {
	t.Run("the less urgent are refused first", func(t *testing.T) {
		l := newLoad()
		ok, _ := l.take(urgent)
		n := l.fill(usual)
		is.New(t).True(ok && n >= 6)
		is.New(t).True(l.fill(urgent) >= 6)
	})
	t.Run("they use all places while no others want them", func(t *testing.T) {
		l := newLoad()
		is.New(t).Equal(l.fill(usual), newLoad().fill(urgent))
	})
	t.Run("an account beyond its share is refused first", func(t *testing.T) {
		l := newLoad()
		_, _ = l.take(from("small"))
		n := l.fill(from("large"))
		is.New(t).True(n >= 6)
		is.New(t).True(l.fill(from("small")) >= 6)
	})
}

// TestLate guards against calls that are refused although none waits, and against
// calls that wait until they are late.
func TestLate(t *testing.T) {
	late := func(q *sardineknot.PlaceRequest) { q.Target = 20 * ms }
	is.New(t).Equal(newLoad().fill(late), 7)
	n := newLoad().fill(usual)
	is.New(t).True(n > 12 && n <= 6+4*6)
}

// TestExpiry guards against places of a host that died, which stay taken for ever.
func TestExpiry(t *testing.T) {
	l := newLoad()
	l.Report(0, "dead", map[sardineknot.ServerProcess]int{single[0].Process(): 6})
	n := l.fill(usual)
	l.now = 3 * time.Second
	is.New(t).Equal(l.fill(usual), n+6)
}

// TestDepth guards against calls to a server that has no room for them in its queue.
func TestDepth(t *testing.T) {
	l := newLoad()
	for range 8 {
		_, _ = l.take(usual)
	}
	l.End(0, sardineknot.PlaceEnd{ID: sardineknot.PlaceID{Host: "h", Number: 8}, Outcome: sardineknot.PlaceRefused})
	is.New(t).Equal(l.fill(usual), 0)
	l.now = depthInterval
	is.New(t).Equal(l.fill(usual), 1)
}

// TestExcluded guards against calls to servers that the host must not use.
func TestExcluded(t *testing.T) {
	ok, d := newLoad().take(func(q *sardineknot.PlaceRequest) { q.Excluded = []sardineknot.BackendServerName{"a"} })
	is.New(t).True(!ok && d == 0) // the host decides alone
}

// TestUnreached guards against calls to a server that no host reaches, and that looks
// idle therefore.
func TestUnreached(t *testing.T) {
	l := newLoad()
	n := l.fill(usual)
	for i := range n {
		l.End(0, sardineknot.PlaceEnd{ID: sardineknot.PlaceID{Host: "h", Number: uint64(i + 1)}, Outcome: sardineknot.PlaceUnreached})
	}
	is.New(t).Equal(l.fill(usual), 0)
	l.now = failedTime
	is.New(t).Equal(l.fill(usual), n)
}

// TestReturns guards against callers that are given a retry time at the same time, and
// against newcomers that take their places.
func TestReturns(t *testing.T) {
	l := newLoad()
	n := l.fill(usual)
	seen := make(map[time.Duration]bool)
	for range 10 {
		_, d := l.take(usual)
		is.New(t).True(d >= minRetryAfter && !seen[d])
		seen[d] = true
	}
	l.now = 50 * ms // five callers are expected until now
	for i := range 5 {
		l.End(l.now, sardineknot.PlaceEnd{ID: sardineknot.PlaceID{Host: "h", Number: uint64(i + 1)}, Outcome: sardineknot.PlaceAnswered, Took: 60 * ms})
	}
	is.New(t).Equal(l.fill(usual), 0)
	ok, _ := l.take(func(q *sardineknot.PlaceRequest) { q.Trait = sardineknot.Trait(n + 1) })
	is.New(t).True(ok)
}

// TestContention guards against services whose calls differ in their times, which
// cause messages again and again although their servers are never full.
func TestContention(t *testing.T) {
	a, n := NewAllocator(), 0
	for i := range 600 {
		if a.Contend(time.Duration(i)*time.Second, false) {
			n++
		}
	}
	is.New(t).True(n <= 15)
	b := NewAllocator()
	b.Contend(0, false)
	b.Contend(contentionTime/2, false)
	lasts, _ := b.Contended(contentionTime)
	is.New(t).True(!lasts)
	a.Contend(600*time.Second, true)
	ok, _ := a.Contended(601 * time.Second)
	is.New(t).True(ok) // a full server is a sign at any time
}

// TestLosses guards against a server that breaks off calls soon after they began and gets
// most calls, since it always has free slots. The server "b" loses four calls in ten.
func TestLosses(t *testing.T) {
	is := is.New(t)
	a := NewAllocator()
	l := []sardineknot.BackendServer{{Name: "a", Slots: 6, Born: 1}, {Name: "b", Slots: 6, Born: 1}}
	b, busy := 0, make(map[time.Duration][]sardineknot.PlaceEnd)
	const calls = 1000
	for n := range uint64(calls) {
		now := time.Duration(n) * 10 * ms // half of the slots are in use
		for _, e := range busy[now] {
			a.End(now, e)
		}
		q := sardineknot.PlaceRequest{
			ID: sardineknot.PlaceID{Host: "h", Number: n + 1}, Target: 300 * ms, Deadline: 800 * ms, CallerDeadline: 1500 * ms,
			Usual: 60 * ms, Trait: sardineknot.Trait(n + 1), Cost: 1,
		}
		d := a.Take(now, l, q)
		e := sardineknot.PlaceEnd{ID: q.ID, Outcome: sardineknot.PlaceAnswered, Took: 60 * ms}
		if d.Server.Name == "b" {
			b++
			if b%5 < 2 {
				e.Outcome, e.Took = sardineknot.PlaceLost, 10*ms
			}
		}
		busy[now+e.Took] = append(busy[now+e.Took], e)
	}
	is.True(b < calls/8) // a quarter of its share
}
