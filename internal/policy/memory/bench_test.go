package memory_test

import (
	"fmt"
	"testing"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/memory"
)

// BenchmarkDecision measures the decisions about one job from submission to
// cancellation, in a shard of 16 engines that are full and have 20 jobs
// waiting.
func BenchmarkDecision(b *testing.B) {
	s := memory.NewScheduler()
	l := []sardineknot.BackendServer{server("p", sardineknot.RolePrefill)}
	for i := range 15 {
		l = append(l, server(fmt.Sprintf("d%d", i), sardineknot.RoleDecode))
	}
	s.SetServers(start, l, nil)
	n := saturate(s, start)
	for i := range 20 {
		s.Submit(start, job(fmt.Sprint("waits", i), start.Add(time.Hour), 5000, 4000))
	}
	b.ReportAllocs()
	var i int
	for b.Loop() {
		i++
		id := fmt.Sprint("job", i)
		s.Submit(start, job(id, start.Add(time.Hour), 5000, 4000))
		s.Report(start, event(fmt.Sprintf("fill%d", i%n), sardineknot.JobProgress, "", 100))
		s.Report(start, event(id, sardineknot.JobCancelled, "", 0))
	}
}
