package groupcommit

import (
	"flag"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestAtMostOnce simulates three hosts with restarts, pauses, takeovers, lost
// replies and late writes, and checks that no request runs more than once.
func TestAtMostOnce(t *testing.T) {
	g := rapid.Custom(func(t *rapid.T) step {
		return step{
			kind: rapid.IntRange(0, 23).Draw(t, "kind"),
			a:    rapid.IntRange(0, 11).Draw(t, "a"),
			b:    rapid.IntRange(0, 2).Draw(t, "b"),
			c:    rapid.IntRange(0, 15).Draw(t, "c"),
		}
	})
	fixSeed(t)
	total := 0
	rapid.Check(t, func(r *rapid.T) {
		l := rapid.SliceOfN(g, 200, 800).Draw(r, "steps")
		var s *simulation
		synctest.Test(t, func(*testing.T) {
			s = newSimulation()
			for _, m := range l {
				s.apply(m)
			}
			s.drain()
		})
		for k, n := range s.runs {
			total += n
			if n > 1 {
				r.Fatalf("%s ran %d times", k, n)
			}
		}
	})
	t.Logf("%d requests ran", total)
	if total == 0 {
		t.Fatal("nothing ran")
	}
}

// fixSeed makes runs without an explicit seed generate the same steps. The
// scheduling of goroutines may still differ between runs.
func fixSeed(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() != "0" {
		return
	}
	for k, v := range map[string]string{"rapid.seed": "4", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		is.New(t).NoErr(flag.Set(k, v))
	}
}
