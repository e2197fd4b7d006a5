// Package simulate implements the command simulate, which runs load patterns in
// virtual time against models of engines with scarce memory.
package simulate

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/bench/memorysim"
	"sardineknot.example/sardineknot/internal/bench/pattern"
	"sardineknot.example/sardineknot/internal/bench/score"
	"sardineknot.example/sardineknot/internal/command/usage"
	"sardineknot.example/sardineknot/internal/policy/clairvoyant"
	"sardineknot.example/sardineknot/internal/policy/leastloaded"
	"sardineknot.example/sardineknot/internal/policy/memory"
	"sardineknot.example/sardineknot/internal/policy/timed"
)

// maxParallel is the maximum number of concurrent runs.
const maxParallel = 3

// The names of the schedulers.
const (
	leastLoaded   = "least-loaded"
	timedName     = "timed"
	memoryName    = "memory"
	ideal         = "ideal"
	idealSmallest = "ideal-smallest"
)

func schedulers() []string { return []string{leastLoaded, timedName, memoryName, ideal, idealSmallest} }

// Command is the subcommand "simulate". SetFlags must be called before Execute,
// to set the defaults of all fields.
type Command struct {
	patterns   string
	schedulers string
	seeds      int
	json       bool
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "simulate" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string {
	return "run load patterns against models of engines with scarce memory"
}

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `simulate [FLAGS]
  Runs patterns of load and faults in virtual time against models of engines
  whose memory limits them more than their slots. Prints the shares of requests
  that each scheduler serves, as means over several seeds. The output depends on
  the flags only.
  Exit status: 0 the table was printed; 1 any error, including an invalid value
  of a flag; 2 wrong usage.
  Example: sardineknot simulate -patterns akstursbok,kessler/crash -seeds 5
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.patterns, "patterns", "", "patterns, separated by commas; empty means all")
	f.StringVar(&c.schedulers, "schedulers", strings.Join(schedulers(), ","), "schedulers, separated by commas")
	f.IntVar(&c.seeds, "seeds", 8, "number of seeds over which each result is averaged")
	f.BoolVar(&c.json, "json", false, "print the results as JSON")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if usage.WrongArguments(c, f, 0, 0) {
		return subcommands.ExitUsageError
	}
	return usage.ExitStatus(c.run(ctx))
}

// combination is a pattern together with a scheduler. It is run once for each
// seed, and the mean of the scores is one row of the table.
type combination struct {
	pattern   pattern.Pattern
	scheduler string
}

func (c *Command) run(ctx context.Context) error {
	l, err := c.combinations()
	if err != nil {
		return err
	}
	r := make([]score.Score, len(l))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallel)
	for i, e := range l {
		g.Go(func() error {
			r[i] = c.runCombination(e)
			return ctx.Err()
		})
	}
	err = g.Wait()
	if err != nil {
		return errors.WithStack(err)
	}
	if c.json {
		return errors.WithStack(json.NewEncoder(os.Stdout).Encode(r))
	}
	return writeTable(os.Stdout, r)
}

// runCombination runs the combination e once for each seed and returns the mean
// of the scores.
func (c *Command) runCombination(e combination) score.Score {
	var l []score.Score
	for i := range c.seeds {
		s := memorysim.NewSimulation(e.pattern, func() sardineknot.Scheduler { return newScheduler(e.scheduler) }, uint64(i+1)).Run()
		s.Scheduler = e.scheduler
		l = append(l, s)
	}
	return score.Mean(l)
}

// combinations returns the combinations that the flags select.
func (c *Command) combinations() ([]combination, error) {
	if c.seeds < 1 {
		return nil, errors.WithStack(&sardineknot.InvalidError{What: "seeds", Got: fmt.Sprint(c.seeds), Expected: "a positive number"})
	}
	s := strings.Split(c.schedulers, ",")
	for _, n := range s {
		if !slices.Contains(schedulers(), n) {
			return nil, errors.WithStack(&sardineknot.UnknownError{What: "scheduler", Name: n})
		}
	}
	p, err := c.selectedPatterns()
	if err != nil {
		return nil, err
	}
	var l []combination
	for _, e := range p {
		for _, n := range s {
			l = append(l, combination{e, n})
		}
	}
	return l, nil
}

// selectedPatterns returns the patterns that the flag -patterns selects.
func (c *Command) selectedPatterns() ([]pattern.Pattern, error) {
	a := pattern.All()
	if c.patterns == "" {
		return a, nil
	}
	var l []pattern.Pattern
	for _, n := range strings.Split(c.patterns, ",") {
		i := slices.IndexFunc(a, func(p pattern.Pattern) bool { return p.Name == n })
		if i < 0 {
			return nil, errors.WithStack(&sardineknot.UnknownError{What: "pattern", Name: n})
		}
		l = append(l, a[i])
	}
	return l, nil
}

func newScheduler(name string) sardineknot.Scheduler {
	switch name {
	case leastLoaded:
		return &leastloaded.Scheduler{}
	case timedName:
		return timed.NewScheduler()
	case memoryName:
		return memory.NewScheduler()
	default:
		return &clairvoyant.Scheduler{SmallestFirst: name == idealSmallest}
	}
}

// writeTable writes scores to w as a table.
func writeTable(w io.Writer, scores []score.Score) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "pattern\tscheduler\tasks\tserved\tin time\tlate\trefused\tbroken\tworst\tsmallest\tlargest\twaste %\tpreempted %\tfirst ms")
	for _, s := range scores {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%d\n",
			s.Pattern, s.Scheduler, s.Asks, s.Served, s.InTime, s.Late, s.Refused, s.Broken, s.Worst, s.Smallest, s.Largest,
			100*s.Waste, 100*s.Preempted, s.First.Milliseconds())
	}
	return errors.WithStack(t.Flush())
}
