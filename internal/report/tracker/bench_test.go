package tracker

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
)

// BenchmarkRecord records outcomes of three classes of work of 3,300 client
// accounts. The memory per operation of the case "new" is the memory that one
// class of work requires.
func BenchmarkRecord(b *testing.B) {
	const accounts, works = 3300, 3
	var l []sardineknot.Outcome
	for a := range accounts {
		for w := range works {
			l = append(l, sardineknot.Outcome{
				Account:    sardineknot.ClientAccountName(fmt.Sprint("account-", a)),
				Work:       sardineknot.WorkName(fmt.Sprint("work-", w)),
				Kind:       sardineknot.OutcomeGood,
				FirstToken: time.Second,
				PerToken:   30 * time.Millisecond,
			})
		}
	}
	now := time.Unix(1_800_000_000, 0)
	k := NewTracker(metrics.NewRegistry())
	for _, n := range []string{"new", "known"} {
		b.Run(n, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				k.Record(now, l[i%len(l)])
			}
		})
	}
	b.Run("windows", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			k.Windows(now)
		}
	})
}
