package memory_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

func TestForeign(t *testing.T) {
	t.Run("requests placed by another host occupy memory", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		n := saturate(newScheduler(1), start)
		r := sardineknot.LoadReport{Server: "d0", MeasuredAt: start}
		for i := range 4 {
			r.RunningRequests = append(r.RunningRequests, sardineknot.RunningRequest{ID: sardineknot.RequestID(fmt.Sprint("other", i)), MemoryTokens: 6000, Events: 14})
		}
		s.ObserveLoad(start, r)
		m := saturate(s, start)
		is.True(m <= n-3)
	})
	t.Run("a job that ended recently is not counted as foreign", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		n := saturate(s, start)
		for i := range n {
			s.Report(start, event(fmt.Sprintf("fill%d", i), sardineknot.JobFinished, "d0", 4000))
		}
		s.ObserveLoad(start, sardineknot.LoadReport{Server: "d0", MeasuredAt: start, RunningRequests: []sardineknot.RunningRequest{{ID: "fill0", MemoryTokens: 60000}}})
		is.True(granted(s.Submit(start, job("next", start, 5000, 4000)), "next").DecodeEngine == "d0")
	})
}
