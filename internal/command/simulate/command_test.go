package simulate

import (
	"flag"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/bench/score"
)

// command returns a command whose flags are set by the given arguments.
func command(t *testing.T, args ...string) *Command {
	t.Helper()
	c := &Command{}
	f := flag.NewFlagSet("simulate", flag.ContinueOnError)
	c.SetFlags(f)
	is.New(t).NoErr(f.Parse(args))
	return c
}

func TestCombinations(t *testing.T) {
	t.Run("patterns and schedulers are combined", func(t *testing.T) {
		is := is.New(t)
		l, err := command(t, "-patterns", "kessler,akstursbok/crash", "-schedulers", "memory,ideal").combinations()
		is.NoErr(err)
		is.Equal(len(l), 4)
		is.Equal(l[3].pattern.Name, "akstursbok/crash")
		is.Equal(l[3].scheduler, "ideal")
	})
	for _, a := range [][]string{{"-patterns", "none"}, {"-schedulers", "best"}, {"-seeds", "0"}} {
		t.Run(a[0]+" "+a[1]+" is rejected", func(t *testing.T) {
			_, err := command(t, a...).combinations()
			is.New(t).True(err != nil)
		})
	}
}

func TestMean(t *testing.T) {
	is := is.New(t)
	m := score.Mean([]score.Score{{Asks: 10, Served: 1, First: 100}, {Asks: 20, Served: 0.5, First: 300}})
	is.Equal(m, score.Score{Asks: 15, Served: 0.75, First: 200})
}
