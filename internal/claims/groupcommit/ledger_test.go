package groupcommit

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
)

// systemClock is a sardineknot.Clock.
type systemClock struct{}

// Now returns the virtual time within a synctest bubble.
func (systemClock) Now() time.Time { return time.Now() }

func newTestLedger(store sardineknot.Store, id string) *Ledger {
	h := sardineknot.EntryHost{ID: sardineknot.EntryHostID(id), Incarnation: 1}
	return NewLedger(store, systemClock{}, h, metrics.NewRegistry())
}

func attempt(id, holder string, nonce uint64) sardineknot.ClaimAttempt {
	return sardineknot.ClaimAttempt{
		Key:               sardineknot.RequestKey{Account: "verk", ID: sardineknot.RequestID(id)},
		Holder:            sardineknot.EntryHostID(holder),
		HolderIncarnation: 1,
		Nonce:             nonce,
	}
}

// expectHolder claims attempt and checks the holder of the claim.
func expectHolder(t *testing.T, ledger sardineknot.ClaimLedger, attempt sardineknot.ClaimAttempt, holder string) {
	t.Helper()
	i := is.New(t)
	r, err := ledger.Claim(context.Background(), attempt)
	i.NoErr(err)
	i.Equal(string(r.Holder), holder)              // holder
	i.Equal(r.Granted, r.Holder == attempt.Holder) // granted to its holder only
}

func expectRelease(t *testing.T, ledger sardineknot.ClaimLedger, attempt sardineknot.ClaimAttempt) {
	t.Helper()
	is.New(t).NoErr(ledger.Release(context.Background(), attempt))
}

// expectUnavailable claims attempt and expects an UnavailableError.
func expectUnavailable(t *testing.T, ledger sardineknot.ClaimLedger, attempt sardineknot.ClaimAttempt) {
	t.Helper()
	_, err := ledger.Claim(context.Background(), attempt)
	var u *sardineknot.UnavailableError
	is.New(t).True(errors.As(err, &u))
}

// inBubble runs f in a synctest bubble, with two ledgers that use the same
// store.
func inBubble(t *testing.T, name string, f func(t *testing.T, s *fakeStore, x, y *Ledger)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore()
			f(t, s, newTestLedger(s, "x"), newTestLedger(s, "y"))
		})
	})
}

func TestClaim(t *testing.T) {
	inBubble(t, "is granted once", func(t *testing.T, _ *fakeStore, x, y *Ledger) {
		expectHolder(t, x, attempt("r", "x", 1), "x")
		expectHolder(t, y, attempt("r", "y", 1), "x")
		expectHolder(t, y, attempt("other", "y", 2), "y")
	})
	inBubble(t, "is idempotent for an attempt", func(t *testing.T, _ *fakeStore, x, y *Ledger) {
		expectHolder(t, x, attempt("r", "x", 1), "x")
		expectHolder(t, x, attempt("r", "x", 1), "x")
		expectHolder(t, y, attempt("r", "x", 1), "x")
	})
	inBubble(t, "is granted to a later attempt after a release", func(t *testing.T, _ *fakeStore, x, y *Ledger) {
		expectHolder(t, x, attempt("r", "x", 1), "x")
		expectRelease(t, y, attempt("r", "x", 1))
		expectHolder(t, x, attempt("r", "y", 1), "y")
	})
	inBubble(t, "is not released by another attempt", func(t *testing.T, _ *fakeStore, x, y *Ledger) {
		expectHolder(t, x, attempt("r", "x", 1), "x")
		expectRelease(t, x, attempt("r", "x", 2))
		expectHolder(t, y, attempt("r", "y", 1), "x")
	})
	inBubble(t, "is not granted to a released attempt", func(t *testing.T, _ *fakeStore, x, y *Ledger) {
		expectRelease(t, x, attempt("r", "x", 1))
		expectHolder(t, y, attempt("r", "x", 1), "")
		expectHolder(t, y, attempt("r", "y", 1), "y")
	})
}

func TestGroupCommit(t *testing.T) {
	inBubble(t, "share a write", func(t *testing.T, s *fakeStore, x, _ *Ledger) {
		var g sync.WaitGroup
		for i := range 200 {
			g.Go(func() { expectHolder(t, x, attempt(fmt.Sprint(i), "x", uint64(i)), "x") })
		}
		g.Wait()
		is.New(t).True(s.writes <= 2*ShardCount) // for each shard, the first operation and the group of the others
	})
	inBubble(t, "decide within the group", func(t *testing.T, s *fakeStore, x, _ *Ledger) {
		var g sync.WaitGroup
		var mu sync.Mutex
		n := 0
		for i := range 20 {
			g.Go(func() {
				r, err := x.Claim(context.Background(), attempt("r", "x", uint64(i)))
				mu.Lock()
				defer mu.Unlock()
				if err == nil && r.Granted {
					n++
				}
			})
		}
		g.Wait()
		is.New(t).Equal(n, 1)
	})
}

func TestLostReply(t *testing.T) {
	for _, k := range []string{"head", "archive"} {
		inBubble(t, k, func(t *testing.T, s *fakeStore, x, y *Ledger) {
			n := 0
			s.fail = func(kind, key string) (bool, bool) {
				if kind != "swap" || !strings.Contains(key, k) {
					return false, false
				}
				n++
				return false, n%2 == 1
			}
			x.MaxBucketRecords, y.MaxBucketRecords = 1, 1
			for i := range 6 {
				expectHolder(t, x, attempt("r", "x", 1), "x")
				expectHolder(t, x, attempt(fmt.Sprint("a", i), "x", 1), "x")
				expectHolder(t, y, attempt(fmt.Sprint("a", i), "y", 1), "x")
			}
		})
	}
	inBubble(t, "followed by a store outage", func(t *testing.T, s *fakeStore, x, y *Ledger) {
		d := false
		s.fail = func(kind, _ string) (bool, bool) {
			b := d
			d = d || kind == "swap"
			return b, kind == "swap"
		}
		expectUnavailable(t, x, attempt("r", "x", 1))
		s.fail = func(string, string) (bool, bool) { return false, false }
		time.Sleep(defaultStoreBackoff)
		expectHolder(t, y, attempt("r", "y", 1), "x")
		expectHolder(t, x, attempt("r", "x", 1), "x")
	})
}

func TestStoreDown(t *testing.T) {
	inBubble(t, "fails without a call to the store", func(t *testing.T, s *fakeStore, x, _ *Ledger) {
		n := 0
		s.fail = func(string, string) (bool, bool) { n++; return true, false }
		expectUnavailable(t, x, attempt("r", "x", 1))
		m := n
		expectUnavailable(t, x, attempt("r", "x", 1))
		is.New(t).Equal(n, m)
		time.Sleep(defaultStoreBackoff)
		expectUnavailable(t, x, attempt("r", "x", 1))
		is.New(t).True(n > m)
	})
}

// TestLateWrite delays a write of x while y writes the same shard, up to the
// archiving of several buckets. The delayed write must fail.
func TestLateWrite(t *testing.T) {
	inBubble(t, "fails", func(t *testing.T, s *fakeStore, x, y *Ledger) {
		x.MaxBucketRecords, y.MaxBucketRecords = 2, 2
		expectHolder(t, x, attempt("first", "x", 1), "x")
		time.Sleep(time.Second)
		h := make(chan struct{})
		s.fail = func(kind, key string) (bool, bool) {
			if kind == "swap" && strings.HasSuffix(key, "head") {
				s.fail = func(string, string) (bool, bool) { return false, false }
				<-h
			}
			return false, false
		}
		done := make(chan sardineknot.ClaimResult)
		go func() {
			r, err := x.Claim(context.Background(), attempt("first-0", "x", 2))
			is.New(t).NoErr(err)
			done <- r
		}()
		synctest.Wait()
		expectHolder(t, y, attempt("first-0", "y", 1), "y")
		for i := range 20 {
			expectHolder(t, y, attempt(fmt.Sprint("later-", i), "y", 1), "y")
		}
		close(h)
		is.New(t).Equal(string((<-done).Holder), "y")
	})
}

func TestExpiry(t *testing.T) {
	inBubble(t, "removes old archives only", func(t *testing.T, s *fakeStore, x, y *Ledger) {
		x.MaxBucketRecords, x.Retention = 1, time.Minute
		y.MaxBucketRecords, y.Retention = 1, time.Minute
		for i := range 100 {
			expectHolder(t, x, attempt(fmt.Sprint("old", i), "x", 1), "x")
		}
		is.New(t).True(s.count("archive") > 50)
		time.Sleep(time.Minute - 30*time.Second)
		for i := range 100 {
			expectHolder(t, y, attempt(fmt.Sprint("new", i), "y", 1), "y")
		}
		time.Sleep(45 * time.Second)
		for i := range 100 {
			expectHolder(t, x, attempt(fmt.Sprint("new", i), "x", 1), "y")
			expectHolder(t, x, attempt(fmt.Sprint("last", i), "x", 1), "x")
		}
		is.New(t).True(s.count("archive") < 220) // the old ones are gone
	})
	inBubble(t, "removes archives that no head refers to", func(t *testing.T, s *fakeStore, x, y *Ledger) {
		x.MaxBucketRecords, y.MaxBucketRecords = 1, 1
		k := sardineknot.RequestKey{Account: "verk", ID: "r"}
		p := &x.shards[shardIndex(digestOf(k))]
		_, err := s.CompareAndSwap(context.Background(), p.archiveKey(0), sardineknot.StoreRevision{}, []byte("orphan"), sardineknot.LeaseID{})
		is.New(t).NoErr(err)
		for i := range 100 {
			expectHolder(t, x, attempt(fmt.Sprint(i), "x", 1), "x")
		}
		for i := range 100 {
			expectHolder(t, y, attempt(fmt.Sprint(i), "y", 1), "x")
		}
		e, err := s.Get(context.Background(), p.archiveKey(0))
		is.New(t).NoErr(err)
		is.New(t).True(e.Revision.Absent())
	})
}

func TestDropIdleState(t *testing.T) {
	inBubble(t, "keeps the claims", func(t *testing.T, s *fakeStore, x, _ *Ledger) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go x.Run(ctx)
		expectHolder(t, x, attempt("r", "x", 1), "x")
		time.Sleep(3 * idleTimeout)
		p := &x.shards[shardIndex(digestOf(attempt("r", "x", 1).Key))]
		p.mu.Lock()
		is.New(t).True(p.state == nil)
		p.mu.Unlock()
		expectHolder(t, x, attempt("r", "y", 2), "x")
	})
}
