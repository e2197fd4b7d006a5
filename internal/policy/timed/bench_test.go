package timed

import (
	"fmt"
	"testing"
	"time"

	"sardineknot.example/sardineknot"
)

// BenchmarkDecision measures one job from Submit to its end at 32 runners with
// full slots and a queue of the given length. A job takes five calls.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{0, 200, 2000} {
		b.Run(fmt.Sprintf("queued=%d", n), func(b *testing.B) {
			s, t := full(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				t = t.Add(2 * time.Millisecond)
				j := benchJob(n+i, t)
				l := s.Submit(t, j)
				for len(l) > 0 {
					l = follow(s, t, l)
				}
			}
			b.ReportMetric(float64(s.queue.Len()), "queued")
		})
	}
}

func benchJob(i int, t time.Time) sardineknot.Job {
	return sardineknot.Job{
		Key: sardineknot.RequestKey{
			Account: sardineknot.ClientAccountName(fmt.Sprint(i % 300)),
			ID:      sardineknot.RequestID(fmt.Sprint("b", i)),
		},
		Work: "w", PromptTokens: 8000, MaxTokens: 800, Prefixes: []uint64{uint64(i % 500), 1, 2},
		Deadline: t.Add(time.Hour),
	}
}

// full returns a scheduler with 12 prefill and 20 decode engines whose slots
// are taken, and n jobs in the queue.
func full(n int) (*Scheduler, time.Time) {
	s := NewScheduler()
	t := time.Unix(1000, 0)
	var l []sardineknot.BackendServer
	for i := range 12 {
		l = append(l, server(i, "p", sardineknot.RolePrefill, 8))
	}
	for i := range 20 {
		l = append(l, server(i, "d", sardineknot.RoleDecode, 20))
	}
	s.SetServers(t, l, nil)
	for i := range 400 {
		s.Adopt(t, sardineknot.RunningJob{
			Job:    benchJob(-i-1, t),
			Grant:  sardineknot.Grant{Prefill: "p0", Decode: sardineknot.BackendServerName(fmt.Sprint("d", i%20))},
			Tokens: 1 + i%100,
		})
	}
	for i := range n {
		s.Submit(t, benchJob(i, t))
	}
	return s, t
}

// follow ends what l starts, and ends a running job for each.
func follow(s *Scheduler, t time.Time, l []sardineknot.Decision) []sardineknot.Decision {
	var r []sardineknot.Decision
	for _, d := range l {
		e := sardineknot.JobEvent{Key: d.Key, Server: d.Server}
		switch d.Action {
		case sardineknot.ActionPrefill:
			e.Kind = sardineknot.JobPrefillDone
			r = append(r, s.Report(t, e)...)
		case sardineknot.ActionDecode:
			e.Kind = sardineknot.JobDecodeStarted
			s.Report(t, e)
			e.Kind, e.Tokens = sardineknot.JobFinished, 200
			r = append(r, s.Report(t, e)...)
		}
	}
	return r
}
