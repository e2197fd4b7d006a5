package chain

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/claims/direct"
)

// delayed answers each write after the delay of a store in another zone.
type delayed struct{ *fakeStore }

func (d delayed) CompareAndSwap(ctx context.Context, key string, expected sardineknot.StoreRevision, value []byte, lease sardineknot.LeaseID) (sardineknot.StoreRevision, error) {
	time.Sleep(3 * time.Millisecond)
	return d.fakeStore.CompareAndSwap(ctx, key, expected, value, lease)
}

// BenchmarkClaim reports the writes for each claim at 300 claims a second.
func BenchmarkClaim(b *testing.B) {
	run := func(b *testing.B, s *fakeStore, l sardineknot.ClaimLedger) {
		var n atomic.Int64
		t := time.NewTicker(time.Second / 300)
		defer t.Stop()
		for i := range b.N {
			<-t.C
			n.Add(1)
			go func() {
				defer n.Add(-1)
				_, _ = l.Claim(context.Background(), attempt(fmt.Sprint(i), "x", uint64(i)))
			}()
		}
		for n.Load() > 0 {
			time.Sleep(time.Millisecond)
		}
		b.ReportMetric(float64(s.writes)/float64(b.N), "writes/claim")
	}
	b.Run("grouped", func(b *testing.B) {
		s := newFakeStore()
		run(b, s, newTestLedger(delayed{s}, "x"))
	})
	b.Run("one key a claim", func(b *testing.B) {
		s := newFakeStore()
		run(b, s, direct.NewLedger(delayed{s}))
	})
}
