package memory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/memory"
)

const (
	// usualRate and slowRate are the token rates of one answer on a usual engine
	// and on a slow one, in tokens a second.
	usualRate = 1300
	slowRate  = 300
)

// runAnswers keeps two answers on each of decode engines d0 to d5 for two seconds.
// Those on d0 grow at slowRate. It returns the end of the two seconds.
func runAnswers(s *memory.Scheduler, at time.Time) time.Time {
	g := make(map[string]string)
	for i := range 12 {
		n := fmt.Sprintf("a%d", i)
		d := s.Submit(at, job(n, at, 1000, 5000))
		g[n] = string(granted(d, n).DecodeEngine)
		s.Report(at, event(n, sardineknot.JobPrefillDone, "p", 0))
	}
	for i := range 20 {
		at = at.Add(100 * time.Millisecond)
		for n, e := range g {
			r := usualRate
			if e == "d0" {
				r = slowRate
			}
			s.Report(at, event(n, sardineknot.JobProgress, sardineknot.BackendServerName(e), r*(i+1)/10))
		}
	}
	return at
}

// submitUntil submits short jobs until one is granted the named decode engine.
// It returns the number of jobs that other engines got before, at most limit.
func submitUntil(s *memory.Scheduler, at time.Time, engine sardineknot.BackendServerName, limit int) int {
	for i := range limit {
		n := fmt.Sprintf("b%d", i)
		d := s.Submit(at, job(n, at, 1000, 1000))
		s.Report(at, event(n, sardineknot.JobPrefillDone, "p", 0))
		if granted(d, n).DecodeEngine == engine {
			return i
		}
	}
	return limit
}

// TestSlowEngines covers the load "a slow sixth of the engines": a slow engine
// holds the memory of its answers for longer, and may not finish them at all.
func TestSlowEngines(t *testing.T) {
	t.Run("a slow decode engine gets fewer jobs", func(t *testing.T) {
		s := newScheduler(6)
		at := runAnswers(s, start)
		is.New(t).True(submitUntil(s, at, "d0", 40) >= 20)
	})
	t.Run("a decode engine that was slow is tried again", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(6)
		at := runAnswers(s, start)
		for i := range 12 {
			s.Report(at, event(fmt.Sprintf("a%d", i), sardineknot.JobFinished, "", 0))
		}
		is.True(submitUntil(s, at.Add(20*time.Second), "d0", 40) < 10)
	})
	t.Run("a slow engine gets no answer that it cannot finish", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(6)
		at := runAnswers(s, start)
		for i := range 200 {
			n := fmt.Sprintf("c%d", i)
			d := s.Submit(at, job(n, at, 1000, 9000))
			s.Report(at, event(n, sardineknot.JobPrefillDone, "p", 0))
			is.True(granted(d, n).DecodeEngine != "d0")
		}
	})
}

// TestSlowPrefills covers prefill engines under the same load, and hosts that end
// before they report the end of a prefill.
func TestSlowPrefills(t *testing.T) {
	t.Run("the lost report of a prefill does not block its engine", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(6)
		s.Submit(start, job("lost", start, 5000, 100))
		at := start.Add(500 * time.Millisecond)
		is.Equal(granted(s.Submit(at, job("early", at, 5000, 100)), "early").PrefillEngine, sardineknot.BackendServerName("d1"))
		at = start.Add(1500 * time.Millisecond)
		is.Equal(granted(s.Submit(at, job("late", at, 5000, 100)), "late").PrefillEngine, sardineknot.BackendServerName("p"))
	})
	t.Run("a slow prefill engine gets fewer prompts", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(6)
		l := []sardineknot.BackendServer{server("p0", sardineknot.RolePrefill), server("p1", sardineknot.RolePrefill)}
		for i := range 6 {
			l = append(l, server(fmt.Sprintf("d%d", i), sardineknot.RoleDecode))
		}
		s.SetServers(start, l, nil)
		at := start
		c := make(map[sardineknot.BackendServerName]int)
		for i := range 40 {
			n := fmt.Sprintf("p%d", i)
			e := granted(s.Submit(at, job(n, at, 5000, 100)), n).PrefillEngine
			c[e]++
			w := 100 * time.Millisecond
			if e == "p0" {
				w = 500 * time.Millisecond
			}
			at = at.Add(w)
			s.Report(at, event(n, sardineknot.JobPrefillDone, e, 0))
			s.Report(at, event(n, sardineknot.JobFinished, "", 100))
		}
		is.True(c["p0"] < c["p1"]/4)
	})
}

// TestManyWaitingJobs covers the load "many jobs wait for many engines": the
// time of a decision must not grow with the product of both.
func TestManyWaitingJobs(t *testing.T) {
	is := is.New(t)
	s := newScheduler(100)
	saturate(s, start)
	at := start.Add(10 * time.Millisecond)
	for i := range 300 {
		n := fmt.Sprintf("w%d", i)
		is.Equal(granted(s.Submit(at, job(n, at, 5000, 5000)), n), sardineknot.Grant{})
	}
	r := 0
	for _, d := range s.Wake(at.Add(target)) {
		if d.Action == sardineknot.ActionRefuse {
			r++
		}
	}
	is.True(r >= 300) // all that wait are refused once they would be late
}
