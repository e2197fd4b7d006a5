package memory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/memory"
)

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// newReaders returns a scheduler with count prefill engines, from p0 on, and the
// decode engines d0 to d3.
func newReaders(count int) (*memory.Scheduler, []sardineknot.BackendServer) {
	var l []sardineknot.BackendServer
	for i := range count {
		l = append(l, server(fmt.Sprintf("p%d", i), sardineknot.RolePrefill))
	}
	for i := range 4 {
		l = append(l, server(fmt.Sprintf("d%d", i), sardineknot.RoleDecode))
	}
	s := memory.NewScheduler()
	s.SetServers(start, l, nil)
	return s, l
}

// read submits count jobs, each 50 ms after the end of the one before. A prompt takes
// an engine of speed 1 a tenth of a second. read returns the time after the last one
// and the number of prompts that each engine got.
func read(s *memory.Scheduler, at time.Time, count int, speed func(sardineknot.BackendServerName) float64) (time.Time, map[sardineknot.BackendServerName]int) {
	c := make(map[sardineknot.BackendServerName]int)
	for i := range count {
		n := fmt.Sprintf("r%d-%d", at.UnixNano(), i)
		e := granted(s.Submit(at, job(n, at, 5000, 100)), n).PrefillEngine
		c[e]++
		end := at.Add(seconds(0.1 / speed(e)))
		s.Report(end, event(n, sardineknot.JobPrefillDone, e, 0))
		s.Report(end, event(n, sardineknot.JobFinished, "", 100))
		at = end.Add(50 * time.Millisecond)
	}
	return at, c
}

// uneven returns the speed of an engine: 1.7 for p2 and 0.7 for others.
func uneven(n sardineknot.BackendServerName) float64 {
	if n == "p2" {
		return 1.7
	}
	return 0.7
}

// readAll has the engines p0 to p2 read prompts side by side, rounds times, at the
// speeds that speed returns for them. It returns the time of the end.
func readAll(s *memory.Scheduler, at time.Time, rounds int, speed func(sardineknot.BackendServerName) float64) time.Time {
	for range rounds {
		g := make(map[sardineknot.BackendServerName]string)
		for k := range 3 {
			n := fmt.Sprintf("l%d-%d", at.UnixNano(), k)
			g[granted(s.Submit(at, job(n, at, 5000, 100)), n).PrefillEngine] = n
		}
		for _, e := range []sardineknot.BackendServerName{"p2", "p1", "p0"} {
			if g[e] != "" {
				s.Report(at.Add(seconds(0.1/speed(e))), event(g[e], sardineknot.JobPrefillDone, e, 0))
			}
		}
		at = at.Add(300 * time.Millisecond)
		for _, n := range g {
			s.Report(at, event(n, sardineknot.JobFinished, "", 100))
		}
	}
	return at
}

// TestLastingSpeed covers the load "engines of speeds 0.7, 0.7 and 1.7": differences
// within a factor of two counted as usual, and others were forgotten in seconds.
func TestLastingSpeed(t *testing.T) {
	t.Run("the fast engine reads an idle engine's share", func(t *testing.T) {
		s, _ := newReaders(3)
		at := readAll(s, start, 60, uneven)
		_, c := read(s, at, 30, uneven)
		is.New(t).True(c["p2"] >= 25)
	})
	t.Run("the speed is kept for minutes and after a change of role", func(t *testing.T) {
		is := is.New(t)
		s, l := newReaders(3)
		at := readAll(s, start, 60, uneven)
		l[2].Role, l[2].Born = sardineknot.RoleDecode, 9
		at = at.Add(20 * time.Second)
		s.SetServers(at, l, nil)
		is.True(s.Demand(at).Speeds["p2"] > 1.4)
	})
	t.Run("a disturbance changes no lasting speed", func(t *testing.T) {
		is := is.New(t)
		s, _ := newReaders(3)
		at := readAll(s, start, 60, func(sardineknot.BackendServerName) float64 { return 1 })
		at = readAll(s, at, 2, func(n sardineknot.BackendServerName) float64 {
			if n == "p0" {
				return 0.4
			}
			return 1
		})
		is.Equal(len(s.Demand(at).Speeds), 7)
		for _, v := range s.Demand(at).Speeds {
			is.Equal(v, 1.0)
		}
	})
	t.Run("the wait for an engine is not part of its speed", func(t *testing.T) {
		is := is.New(t)
		s, _ := newReaders(1)
		at := start
		// Two prompts at once: the second one takes twice as long from its grant.
		for i := range 60 {
			a, b := fmt.Sprintf("a%d", i), fmt.Sprintf("b%d", i)
			s.Submit(at, job(a, at, 5000, 100))
			s.Submit(at, job(b, at, 5000, 100))
			for _, n := range []string{a, b} {
				at = at.Add(100 * time.Millisecond)
				s.Report(at, event(n, sardineknot.JobPrefillDone, "p0", 0))
				s.Report(at, event(n, sardineknot.JobFinished, "", 100))
			}
		}
		d := s.Demand(at)
		// 10 prompts of 100 ms a second keep one engine busy.
		is.True(d.Prefill > 0.9 && d.Prefill < 1.1)
	})
}

// TestDemand covers waves of demand with a period of 17 s: the demand is that of the
// peak, and does not fall with the wave.
func TestDemand(t *testing.T) {
	is := is.New(t)
	s, _ := newReaders(4)
	is.Equal(s.Demand(start).Observed, time.Duration(0))
	at := start
	for i := range 60 * 34 {
		at = start.Add(time.Duration(i) * time.Second / 60)
		n := fmt.Sprint("w", i)
		// 30 jobs a second for 8 s of every 17 s, 10 otherwise, of 0.1 s each.
		if k := i / 60 % 17; k < 8 && i%2 == 0 || i%6 == 0 {
			s.Submit(at, job(n, at, 5000, 100))
			s.Report(at, event(n, sardineknot.JobCancelled, "", 0))
		}
		if d := s.Demand(at); d.Observed > 17*time.Second {
			is.True(d.Prefill > 2.5 && d.Prefill < 3.6)
		}
	}
	t.Run("old demand is forgotten", func(t *testing.T) {
		is.New(t).Equal(s.Demand(at.Add(30*time.Second)).Prefill, 0.0)
	})
}
