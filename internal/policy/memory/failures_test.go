package memory_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/memory"
)

func TestFailures(t *testing.T) {
	t.Run("a job without recent events frees its memory", func(t *testing.T) {
		// A host that was partitioned and then owned the shard again kept
		// memory reserved for jobs whose ends had been reported to the interim
		// owner.
		is := is.New(t)
		s := newScheduler(1)
		saturate(s, start)
		n := start.Add(3 * time.Second)
		is.Equal(granted(s.Submit(n, job("next", n, 5000, 4000)), "next").DecodeEngine, sardineknot.BackendServerName("d0"))
	})
	t.Run("a prefill engine whose results are lost is tripped", func(t *testing.T) {
		is := is.New(t)
		s := newTwoPrefills()
		s.Submit(start, job("old", start, 1000, 1000))
		s.Report(start, event("old", sardineknot.JobPrefillDone, "p", 0))
		s.Report(start, event("old", sardineknot.JobDecodeStarted, "d", 0))
		for i := range 2 {
			id := fmt.Sprintf("lost%d", i)
			s.Submit(start, job(id, start, 1000, 1000))
			s.Report(start, event(id, sardineknot.JobPrefillDone, "p", 0))
			s.Report(start, event(id, sardineknot.JobCacheLost, "p", 0))
			// The decode engine prefills the prompt itself.
			s.Report(start, event(id, sardineknot.JobDecodeStarted, "d", 0))
			s.Report(start, event(id, sardineknot.JobFinished, "d", 1000))
			// Progress of an older answer says nothing about current results.
			s.Report(start, event("old", sardineknot.JobProgress, "d", 500))
		}
		for i := range 3 {
			id := fmt.Sprintf("next%d", i)
			is.Equal(granted(s.Submit(start, job(id, start, 1000, 1000)), id).PrefillEngine, sardineknot.BackendServerName("q"))
		}
	})
}

func TestLossRate(t *testing.T) {
	t.Run("a prefill engine that loses some results is used after others", func(t *testing.T) {
		// Most engines lost a third of the answers but never two in a row, so
		// the limit of consecutive failures was not reached.
		is := is.New(t)
		s := newTwoPrefills()
		for i, k := range []sardineknot.JobEventKind{sardineknot.JobFailed, sardineknot.JobDecodeStarted, sardineknot.JobFailed, sardineknot.JobDecodeStarted} {
			id := fmt.Sprint("lost", i)
			j := job(id, start, 1000, 1000)
			j.CachedOn = "p"
			is.Equal(granted(s.Submit(start, j), id).PrefillEngine, j.CachedOn)
			s.Report(start, event(id, k, "p", 0))
			s.Report(start, event(id, sardineknot.JobFinished, "d", 1000))
		}
		is.Equal(granted(s.Submit(start, job("next", start, 1000, 1000)), "next").PrefillEngine, sardineknot.BackendServerName("q"))
	})
}

func TestUnreachable(t *testing.T) {
	// Failed engines stayed in the list of servers while the store was
	// unavailable. Being empty, each was chosen twice, and each attempt wasted
	// a prefill.
	is := is.New(t)
	s := newScheduler(2)
	g := granted(s.Submit(start, job("first", start, 2000, 1000)), "first")
	s.Report(start, event("first", sardineknot.JobPrefillDone, "p", 0))
	v := event("first", sardineknot.JobFailed, g.DecodeEngine, 0)
	v.Unreachable = true
	s.Report(start, v)
	for i := range 3 {
		id := fmt.Sprint("next", i)
		n := granted(s.Submit(start, job(id, start, 2000, 1000)), id)
		is.True(n.DecodeEngine != g.DecodeEngine)
		is.Equal(n.PrefillEngine, sardineknot.BackendServerName("p"))
	}
	t.Run("a tripped engine prefills the prompt of its probe itself", func(t *testing.T) {
		is := is.New(t)
		n := start.Add(600 * time.Millisecond)
		is.Equal(granted(s.Submit(n, job("probe", n, 2000, 1000)), "probe"), sardineknot.Grant{PrefillEngine: g.DecodeEngine, DecodeEngine: g.DecodeEngine})
	})
}

// TestRamp guards against full load on an engine that has just started or recovered,
// and against an engine that is left idle then.
func TestRamp(t *testing.T) {
	// onD0 ends the prefills of the jobs that decisions grant d0, and returns them.
	var onD0 func(*memory.Scheduler, time.Time, []sardineknot.Decision) []string
	onD0 = func(s *memory.Scheduler, at time.Time, decisions []sardineknot.Decision) (l []string) {
		for _, d := range decisions {
			if id, _, _ := strings.Cut(string(d.Key.ID), "/"); d.Action == sardineknot.ActionDecode && d.Server == "d0" {
				l = append(append(l, id), onD0(s, at, s.Report(at, event(id, sardineknot.JobPrefillDone, "p", 0)))...)
			}
		}
		return l
	}
	for _, c := range []struct {
		name  string
		first int
		make  func(*memory.Scheduler) time.Time
	}{
		{"a restarted engine", 2, func(s *memory.Scheduler) time.Time {
			d := server("d0", sardineknot.RoleDecode)
			d.Born = 7
			s.SetServers(start, []sardineknot.BackendServer{server("p", sardineknot.RolePrefill), d}, nil)
			return start
		}},
		{"a tripped engine", 1, func(s *memory.Scheduler) time.Time {
			s.Submit(start, job("f", start, 1000, 1000))
			v := event("f", sardineknot.JobFailed, "d0", 0)
			v.Unreachable = true
			s.Report(start, v)
			return start.Add(600 * time.Millisecond)
		}},
	} {
		t.Run(c.name+" gets more jobs with each success", func(t *testing.T) {
			is := is.New(t)
			s := newScheduler(1)
			at := c.make(s)
			var l []string
			for i := range 12 {
				l = append(l, onD0(s, at, s.Submit(at, job(fmt.Sprint("a", i), at, 1000, 1000)))...)
			}
			is.Equal(len(l), c.first)
			var m []string
			for _, n := range l {
				m = append(m, onD0(s, at, s.Report(at, event(n, sardineknot.JobDecodeStarted, "d0", 73)))...)
			}
			is.Equal(len(m), 2*c.first)
			m = onD0(s, at, s.Report(at, event(m[0], sardineknot.JobFailed, "d0", 0)))
			is.Equal(len(m), 0) // a failure halves the limit
		})
	}
}
