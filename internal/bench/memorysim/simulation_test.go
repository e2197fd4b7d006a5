package memorysim_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/bench/memorysim"
	"sardineknot.example/sardineknot/internal/bench/pattern"
	"sardineknot.example/sardineknot/internal/bench/score"
	"sardineknot.example/sardineknot/internal/policy/clairvoyant"
	"sardineknot.example/sardineknot/internal/policy/leastloaded"
	"sardineknot.example/sardineknot/internal/policy/memory"
)

const (
	// seeds is the number of runs of each pattern that is derived from a base
	// pattern. baseSeeds is the number of runs of each base pattern, for which
	// the targets are stricter.
	seeds     = 3
	baseSeeds = 8
)

func newMemoryScheduler() sardineknot.Scheduler      { return memory.NewScheduler() }
func newClairvoyantScheduler() sardineknot.Scheduler { return &clairvoyant.Scheduler{} }

// meanScore returns the mean score of the given number of runs of p.
func meanScore(p pattern.Pattern, newScheduler func() sardineknot.Scheduler, runs int) score.Score {
	var l []score.Score
	for i := range runs {
		l = append(l, memorysim.NewSimulation(p, newScheduler, uint64(i+1)).Run())
	}
	return score.Mean(l)
}

func findPattern(t *testing.T, name string) pattern.Pattern {
	t.Helper()
	for _, p := range pattern.All() {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("no pattern %s", name)
	return pattern.Pattern{}
}

// TestPatterns checks that the memory scheduler meets the targets for waste,
// preemption and fairness under each pattern.
func TestPatterns(t *testing.T) {
	for _, p := range pattern.All() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			m, n := 0.03, seeds
			if !strings.Contains(p.Name, "/") {
				m, n = 0.01, baseSeeds
			}
			s := meanScore(p, newMemoryScheduler, n)
			is.True(s.Waste < m)
			is.True(s.Preempted < m)
			is.True(s.Largest >= 0.5)
			is.True(s.Smallest >= 0.7)
		})
	}
}

// TestBound checks that the memory scheduler serves less than the clairvoyant
// scheduler, whose result is meant to be an upper bound.
func TestBound(t *testing.T) {
	for _, n := range []string{"akstursbok", "kessler"} {
		t.Run(n, func(t *testing.T) {
			t.Parallel()
			p := findPattern(t, n)
			is.New(t).True(meanScore(p, newMemoryScheduler, 1).Served < meanScore(p, newClairvoyantScheduler, 1).Served)
		})
	}
}

func TestModel(t *testing.T) {
	p := findPattern(t, "akstursbok")
	t.Run("equal seeds give equal runs", func(t *testing.T) {
		is := is.New(t)
		is.Equal(memorysim.NewSimulation(p, newMemoryScheduler, 7).Run(), memorysim.NewSimulation(p, newMemoryScheduler, 7).Run())
	})
	t.Run("scheduling by present memory use causes preemption and repeated prefills", func(t *testing.T) {
		is := is.New(t)
		s := meanScore(p, func() sardineknot.Scheduler { return &leastloaded.Scheduler{} }, 1)
		is.True(s.Preempted > 0.1)
		is.True(s.Waste > 0.1)
		is.True(s.Served < meanScore(p, newMemoryScheduler, seeds).Served/2)
	})
	t.Run("every request has exactly one outcome", func(t *testing.T) {
		is := is.New(t)
		s := meanScore(p, newMemoryScheduler, seeds)
		is.True(s.Broken >= -1e-9)
		is.True(s.InTime+s.Late+s.Refused+s.Broken < 1+1e-9)
	})
	t.Run("requests whose callers disconnect early are not counted", func(t *testing.T) {
		is := is.New(t)
		is.True(meanScore(findPattern(t, "akstursbok/callers leave"), newMemoryScheduler, seeds).Asks < meanScore(p, newMemoryScheduler, seeds).Asks)
	})
}
