package groupcommit

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/claims/direct"
)

// delayedStore delays each write by the round-trip time of a store in another
// zone.
type delayedStore struct{ *fakeStore }

func (d delayedStore) CompareAndSwap(ctx context.Context, key string, expected sardineknot.StoreRevision, value []byte, lease sardineknot.LeaseID) (sardineknot.StoreRevision, error) {
	time.Sleep(3 * time.Millisecond)
	return d.fakeStore.CompareAndSwap(ctx, key, expected, value, lease)
}

// BenchmarkClaim reports the number of store writes per claim at 300 claims per
// second.
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
		run(b, s, newTestLedger(delayedStore{s}, "x"))
	})
	b.Run("one key per claim", func(b *testing.B) {
		s := newFakeStore()
		run(b, s, direct.NewLedger(delayedStore{s}))
	})
}

// BenchmarkHead reports the size of a head, and the time to encode it, at 360
// hosts and 300 claims per second.
func BenchmarkHead(b *testing.B) {
	const archives = 264
	l := newTestLedger(newFakeStore(), "x")
	p := &l.shards[0]
	for n := range 3 {
		records := n * defaultBucketRecords / 2
		b.Run(fmt.Sprintf("%d records", records), func(b *testing.B) {
			s := fullState(archives, records)
			m := 0
			for b.Loop() {
				v, err := proto.Marshal(p.encodeHead(s))
				if err != nil {
					b.Fatal(err)
				}
				m = len(v)
			}
			b.ReportMetric(float64(m), "bytes/head")
		})
	}
}

// BenchmarkDecide reports the time to decide one claim against the claims of
// one hour.
func BenchmarkDecide(b *testing.B) {
	s := fullState(264, defaultBucketRecords)
	o := operation{record: testRecord(1 << 40)}
	b.ReportAllocs()
	for b.Loop() {
		s.decide([]operation{o})
	}
}

// BenchmarkState reports the memory per claim of a cached state.
func BenchmarkState(b *testing.B) {
	var x, y runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&x)
	s := fullState(264, defaultBucketRecords)
	runtime.GC()
	runtime.ReadMemStats(&y)
	b.ReportMetric(float64(y.HeapAlloc-x.HeapAlloc)/(265*defaultBucketRecords), "bytes/claim")
	runtime.KeepAlive(s)
}

// testRecord returns the claim of a request that index identifies.
func testRecord(index int) record {
	return record{
		key:         digestOf(attempt(fmt.Sprint(index), "", 0).Key),
		holder:      sardineknot.EntryHostID(fmt.Sprintf("entry-%03d", index*7919%360)),
		incarnation: 1796338102335721202,
		nonce:       uint64(index),
	}
}

// fullState returns the state of a shard with the given number of archives,
// each with a full bucket, and with the given number of records in the bucket
// of the head.
func fullState(archives, records int) *state {
	const now = 1796338102
	fill := func(n int) *bucket {
		var l []record
		for i := range n {
			l = append(l, testRecord(100000+i))
		}
		return newBucket(l, now)
	}
	s := &state{sequence: 10000000, head: fill(records)}
	for i := range archives {
		s.archives = append(s.archives, archive{sequence: uint64(9000000 + i), bucket: fill(defaultBucketRecords)})
	}
	return s
}
