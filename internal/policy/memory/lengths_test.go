package memory_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

func TestLengths(t *testing.T) {
	t.Run("forecasts are pulled from callers' estimates toward the mean", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		for i := range 60 {
			// Answers have 2,000 tokens whatever the callers estimate.
			id := fmt.Sprintf("seen%d", i)
			s.Submit(start, job(id, start, 1000, 1000+100*i))
			s.Report(start, event(id, sardineknot.JobPrefillDone, "p", 0))
			s.Report(start, event(id, sardineknot.JobFinished, "d0", 2000))
		}
		var n int
		for ; n < 40; n++ {
			id := fmt.Sprintf("fill%d", n)
			if granted(s.Submit(start, job(id, start, 1000, 8000)), id) == (sardineknot.Grant{}) {
				break
			}
			s.Report(start, event(id, sardineknot.JobPrefillDone, "p", 0))
		}
		is.True(n >= 20) // about 3,000 tokens each instead of the estimated 9,000
	})
}
