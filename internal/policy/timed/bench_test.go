package timed

import (
	"fmt"
	"testing"
	"time"

	"sardineknot.example/sardineknot"
)

// BenchmarkDecision measures the decisions about one job from Submit to its
// end, with 32 engines whose slots are all in use and a queue of the given
// length. A job that runs takes one call of Submit and three of Report.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{0, 200, 2000} {
		b.Run(fmt.Sprintf("queued=%d", n), func(b *testing.B) {
			s, t := newFullScheduler(n)
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

func benchJob(index int, now time.Time) sardineknot.Job {
	return sardineknot.Job{
		Key: sardineknot.RequestKey{
			Account: sardineknot.ClientAccountName(fmt.Sprint(index % 300)),
			ID:      sardineknot.RequestID(fmt.Sprint("b", index)),
		},
		Work: "w", PromptTokens: 8000, MaxTokens: 800, PrefixHashes: []uint64{uint64(index % 500), 1, 2},
		FirstTokenDeadline: now.Add(time.Hour),
	}
}

// newFullScheduler returns a scheduler with 12 prefill and 20 decode engines
// whose slots are all in use, and with the given number of queued jobs.
func newFullScheduler(queued int) (*Scheduler, time.Time) {
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
			Grant:  sardineknot.Grant{PrefillEngine: "p0", DecodeEngine: sardineknot.BackendServerName(fmt.Sprint("d", i%20))},
			Tokens: 1 + i%100,
		})
	}
	for i := range queued {
		s.Submit(t, benchJob(i, t))
	}
	return s, t
}

// follow reports the end of the prefills and decodes that decisions start, and
// returns the decisions that the scheduler makes in response. Each decode ends
// at once.
func follow(s *Scheduler, now time.Time, decisions []sardineknot.Decision) []sardineknot.Decision {
	var r []sardineknot.Decision
	for _, d := range decisions {
		e := sardineknot.JobEvent{Key: d.Key, Server: d.Server}
		switch d.Action {
		case sardineknot.ActionPrefill:
			e.Kind = sardineknot.JobPrefillDone
			r = append(r, s.Report(now, e)...)
		case sardineknot.ActionDecode:
			e.Kind = sardineknot.JobDecodeStarted
			s.Report(now, e)
			e.Kind, e.Tokens = sardineknot.JobFinished, 200
			r = append(r, s.Report(now, e)...)
		}
	}
	return r
}
