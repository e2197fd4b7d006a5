package groupcommit

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sardineknot.example/sardineknot"
)

const (
	simulationRetention = time.Minute
	simulationPause     = 5 * time.Second
)

// storeCall is a call to the store whose outcome is not decided yet.
type storeCall struct {
	// apply makes the call take effect.
	apply func()
	// reply receives whether the caller gets a reply.
	reply chan bool
}

// network holds calls to the store until the simulation completes them.
type network struct {
	mu    sync.Mutex
	calls []storeCall
	// late holds the effects of calls that have failed for their callers but
	// may still reach the store.
	late []func()
}

// hasCalls reports whether a call waits for its outcome.
func (n *network) hasCalls() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.calls) > 0
}

// gatedStore is a fake store behind a simulated network that delays and loses
// calls.
type gatedStore struct {
	*fakeStore
	network *network
}

// await submits a call with the given effect to the network. It waits until the
// call is completed and reports whether the caller gets a reply.
func (g *gatedStore) await(effect func()) bool {
	c := storeCall{apply: effect, reply: make(chan bool)}
	g.network.mu.Lock()
	g.network.calls = append(g.network.calls, c)
	g.network.mu.Unlock()
	return <-c.reply
}

func (g *gatedStore) Get(ctx context.Context, key string) (entry sardineknot.StoreEntry, err error) {
	if !g.await(func() { entry, err = g.fakeStore.Get(ctx, key) }) {
		return sardineknot.StoreEntry{}, noReply()
	}
	return entry, err
}

func (g *gatedStore) List(ctx context.Context, prefix string) (entries []sardineknot.StoreEntry, err error) {
	if !g.await(func() { entries, err = g.fakeStore.List(ctx, prefix) }) {
		return nil, noReply()
	}
	return entries, err
}

func (g *gatedStore) CompareAndSwap(ctx context.Context, key string, expected sardineknot.StoreRevision, value []byte, lease sardineknot.LeaseID) (revision sardineknot.StoreRevision, err error) {
	if !g.await(func() { revision, err = g.fakeStore.CompareAndSwap(ctx, key, expected, value, lease) }) {
		return sardineknot.StoreRevision{}, noReply()
	}
	return revision, err
}

func (g *gatedStore) Delete(ctx context.Context, key string, expected sardineknot.StoreRevision) (err error) {
	if !g.await(func() { err = g.fakeStore.Delete(ctx, key, expected) }) {
		return noReply()
	}
	return err
}

// grantedClaim is a claim that a host holds on behalf of a caller. issued is
// the time at which the request identifier was first used.
type grantedClaim struct {
	attempt sardineknot.ClaimAttempt
	issued  time.Time
}

// simulation drives entry hosts with their ledgers, callers and a backend
// server.
type simulation struct {
	store        *gatedStore
	ledgers      []*Ledger
	incarnations []uint64
	nonce        uint64
	// keys holds request identifiers that belong to two shards only, so that
	// buckets fill up.
	keys []string
	// issued maps each identifier to the time of its first use.
	issued map[string]time.Time

	mu sync.Mutex
	// granted holds the claims that were granted and neither dispatched nor
	// released.
	granted []*grantedClaim
	// runs counts how often the backend server ran each request.
	runs map[string]int
}

func newSimulation() *simulation {
	s := &simulation{
		store:        &gatedStore{fakeStore: newFakeStore(), network: &network{}},
		ledgers:      make([]*Ledger, 3),
		incarnations: make([]uint64, 3),
		issued:       make(map[string]time.Time),
		runs:         make(map[string]int),
	}
	for i := range s.ledgers {
		s.restart(i)
	}
	for range 16 {
		s.keys = append(s.keys, s.newKey())
	}
	return s
}

// newKey returns the next identifier that belongs to the shards in use.
func (s *simulation) newKey() string {
	for {
		s.nonce++
		k := fmt.Sprint("r", s.nonce)
		if shardIndex(digestOf(attempt(k, "", 0).Key)) < 2 {
			return k
		}
	}
}

// restart replaces a host by a new incarnation, which loses its granted claims.
// Calls of the previous incarnation continue.
func (s *simulation) restart(host int) {
	s.incarnations[host]++
	l := newTestLedger(s.store, fmt.Sprint("host-", host))
	l.self.Incarnation = sardineknot.Incarnation(s.incarnations[host])
	l.MaxBucketRecords, l.Retention = 2, simulationRetention
	l.StoreBackoff = time.Second
	s.ledgers[host] = l
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted = slices.DeleteFunc(s.granted, func(r *grantedClaim) bool { return r.attempt.Holder == l.self.ID })
}

// claimable reports whether an identifier that was first used at issued may
// still be claimed and dispatched.
func claimable(issued time.Time) bool {
	return time.Since(issued) < simulationRetention/2
}

// claim makes a host claim the identifier at index key for a caller, through
// the ledger of the host with index via. If the identifier is too old to be
// claimed, it is replaced by a new one instead.
func (s *simulation) claim(host, via, key int) {
	k := s.keys[key]
	if s.issued[k].IsZero() {
		s.issued[k] = time.Now()
	}
	if !claimable(s.issued[k]) {
		s.keys[key] = s.newKey()
		return
	}
	s.nonce++
	a := attempt(k, fmt.Sprint("host-", host), s.nonce)
	a.HolderIncarnation = sardineknot.Incarnation(s.incarnations[host])
	r := &grantedClaim{attempt: a, issued: s.issued[k]}
	l := s.ledgers[via]
	go func() {
		p, err := l.Claim(context.Background(), a)
		if err != nil {
			releaseUntilDone(l, a)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if p.Granted && uint64(a.HolderIncarnation) == s.incarnations[host] {
			s.granted = append(s.granted, r)
		}
	}()
}

// releaseUntilDone repeats the release of attempt until the store confirms it.
func releaseUntilDone(ledger *Ledger, attempt sardineknot.ClaimAttempt) {
	for ledger.Release(context.Background(), attempt) != nil {
		time.Sleep(time.Second)
	}
}

// dispatchOrRelease makes the holder of a granted claim dispatch the request or
// release the claim.
func (s *simulation) dispatchOrRelease(index, via int, dispatch bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.granted) == 0 {
		return
	}
	index %= len(s.granted)
	r := s.granted[index]
	s.granted = slices.Delete(s.granted, index, index+1)
	if dispatch && claimable(r.issued) {
		s.runs[string(r.attempt.Key.ID)]++
		return
	}
	l := s.ledgers[via]
	go releaseUntilDone(l, r.attempt)
}

// completeCall completes one of the calls to the store that wait for their
// outcome. If result is 0, the call fails and may take effect later. If result
// is 1, the call takes effect but its reply is lost. Otherwise the call
// succeeds.
func (s *simulation) completeCall(index, result int) {
	g := s.store.network
	g.mu.Lock()
	if len(g.calls) == 0 {
		g.mu.Unlock()
		return
	}
	index %= len(g.calls)
	c := g.calls[index]
	g.calls = slices.Delete(g.calls, index, index+1)
	if result == 0 {
		g.late = append(g.late, c.apply)
	}
	g.mu.Unlock()
	if result > 0 {
		c.apply()
	}
	c.reply <- result > 1
}

// applyLate makes a call that has already failed for its caller take effect.
func (s *simulation) applyLate(index int) {
	g := s.store.network
	if len(g.late) == 0 {
		return
	}
	index %= len(g.late)
	f := g.late[index]
	g.late = slices.Delete(g.late, index, index+1)
	f()
}

// step is one action of the simulation: kind selects the action, and a, b and c
// are its parameters.
type step struct {
	kind, a, b, c int
}

func (s *simulation) apply(action step) {
	switch action.kind {
	case 0, 1, 6, 7:
		s.claim(action.a%3, action.b%3, action.c)
	case 2:
		s.dispatchOrRelease(action.a, action.b%3, action.c%3 > 0)
	case 3:
		s.applyLate(action.a)
	case 4:
		s.restart(action.a % 3)
	case 5, 8:
		time.Sleep(simulationPause)
	default:
		s.completeCall(action.a, action.c)
	}
	synctest.Wait()
}

// drain completes all calls until none has been waiting for three seconds.
// Writes that wait for their interval and repeated releases issue their next
// call within one second.
func (s *simulation) drain() {
	for n := 0; n < 3; n++ {
		time.Sleep(time.Second)
		synctest.Wait()
		for s.store.network.hasCalls() {
			n = -1
			s.completeCall(0, 2)
			synctest.Wait()
		}
	}
}

// TestAtMostOnce simulates three hosts with restarts, pauses, takeovers, lost
// replies and late writes, and checks that no request runs more than once.
func TestAtMostOnce(t *testing.T) {
	g := rapid.Custom(func(t *rapid.T) step {
		return step{
			kind: rapid.IntRange(0, 23).Draw(t, "kind"),
			a:    rapid.IntRange(0, 11).Draw(t, "a"),
			b:    rapid.IntRange(0, 2).Draw(t, "b"),
			c:    rapid.IntRange(0, 15).Draw(t, "c"),
		}
	})
	fixSeed(t)
	total := 0
	rapid.Check(t, func(r *rapid.T) {
		l := rapid.SliceOfN(g, 200, 800).Draw(r, "steps")
		var s *simulation
		synctest.Test(t, func(*testing.T) {
			s = newSimulation()
			for _, m := range l {
				s.apply(m)
			}
			s.drain()
		})
		for k, n := range s.runs {
			total += n
			if n > 1 {
				r.Fatalf("%s ran %d times", k, n)
			}
		}
	})
	t.Logf("%d requests ran", total)
	if total == 0 {
		t.Fatal("nothing ran")
	}
}

// fixSeed makes runs without an explicit seed generate the same steps. The
// scheduling of goroutines may still differ between runs.
func fixSeed(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() != "0" {
		return
	}
	for k, v := range map[string]string{"rapid.seed": "4", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		is.New(t).NoErr(flag.Set(k, v))
	}
}
