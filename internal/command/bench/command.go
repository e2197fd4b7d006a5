// Package bench implements the command bench, which measures schedulers in
// virtual time.
package bench

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/bench/result"
	"sardineknot.example/sardineknot/internal/bench/slotsim"
	"sardineknot.example/sardineknot/internal/bench/table"
	"sardineknot.example/sardineknot/internal/bench/workload"
	"sardineknot.example/sardineknot/internal/command/usage"
	"sardineknot.example/sardineknot/internal/policy/leastloaded"
	"sardineknot.example/sardineknot/internal/policy/oracle"
	"sardineknot.example/sardineknot/internal/policy/roundrobin"
	"sardineknot.example/sardineknot/internal/policy/timed"
)

// maxParallel is the maximum number of concurrent runs.
const maxParallel = 4

// Command is the subcommand "bench". SetFlags must be called before Execute, to
// set the defaults of all fields.
type Command struct {
	workloads  string
	faults     string
	loads      string
	schedulers string
	duration   time.Duration
	seed       uint64
	json       bool
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "bench" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "measure schedulers in virtual time" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `bench [FLAGS]
  Runs schedulers in virtual time on models of two workloads and prints a table
  of goodput, wasted prefill, latencies and fairness, with a verdict on each
  result of the chosen scheduler. The output depends on the flags only.
  Exit status: 0 the table was printed, whatever the verdicts; 1 any error,
  including an invalid value of a flag; 2 wrong usage.
  Example: sardineknot bench -workloads kessler -faults "runner killed" -loads 1.0,1.3
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.workloads, "workloads", "akstursbok,kessler", "workloads, separated by commas")
	f.StringVar(&c.faults, "faults", strings.Join(faults(), ","), "faults, separated by commas")
	f.StringVar(&c.loads, "loads", "0.5,0.8,1.0,1.3,2.0", "loads relative to capacity, separated by commas")
	f.StringVar(&c.schedulers, "schedulers", "a,b,c,d,e", "schedulers by letter, separated by commas")
	f.DurationVar(&c.duration, "duration", 2*time.Minute, "virtual time in which first attempts of requests are counted")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the random number generator")
	f.BoolVar(&c.json, "json", false, "print the results as JSON")
}

// faults returns the names of all faults.
func faults() []string {
	return []string{slotsim.FaultNone, slotsim.FaultEngineCrash, slotsim.FaultLag, slotsim.FaultLink, slotsim.FaultEntryHostCrash}
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if usage.WrongArguments(c, f, 0, 0) {
		return subcommands.ExitUsageError
	}
	return usage.ExitStatus(c.run(ctx))
}

func (c *Command) run(ctx context.Context) error {
	l, err := c.runSpecs()
	if err != nil {
		return err
	}
	t := table.Table{Results: make([]result.Result, len(l))}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallel)
	for i, e := range l {
		g.Go(func() error {
			t.Results[i] = c.measure(e)
			return ctx.Err()
		})
	}
	err = g.Wait()
	if err != nil {
		return errors.WithStack(err)
	}
	if c.json {
		return errors.WithStack(json.NewEncoder(os.Stdout).Encode(t.Results))
	}
	return errors.WithStack(t.Write(os.Stdout))
}

// runSpec identifies one run: a workload, a fault, a load relative to capacity,
// and the letter of a scheduler. Its result is one row of the table.
type runSpec struct {
	workload  workload.Workload
	fault     string
	load      float64
	scheduler string
}

// runSpecs returns the runs that the flags select.
func (c *Command) runSpecs() ([]runSpec, error) {
	var l []runSpec
	for _, n := range strings.Split(c.workloads, ",") {
		w, err := findWorkload(n)
		if err != nil {
			return nil, err
		}
		for _, f := range strings.Split(c.faults, ",") {
			r, err := c.runSpecsOf(w, f)
			if err != nil {
				return nil, err
			}
			l = append(l, r...)
		}
	}
	return l, nil
}

// runSpecsOf returns the runs of the workload w under a fault, for all selected
// loads and schedulers.
func (c *Command) runSpecsOf(w workload.Workload, fault string) ([]runSpec, error) {
	if !slices.Contains(faults(), fault) {
		return nil, errors.WithStack(&sardineknot.UnknownError{What: "fault", Name: fault})
	}
	var l []runSpec
	for _, s := range strings.Split(c.loads, ",") {
		f, err := strconv.ParseFloat(s, 64)
		if err != nil || f <= 0 {
			return nil, errors.WithStack(&sardineknot.InvalidError{What: "load", Got: s, Expected: "a positive number"})
		}
		for _, p := range strings.Split(c.schedulers, ",") {
			if !strings.Contains("abcde", p) || len(p) != 1 {
				return nil, errors.WithStack(&sardineknot.UnknownError{What: "scheduler", Name: p})
			}
			l = append(l, runSpec{w, fault, f, p})
		}
	}
	return l, nil
}

func findWorkload(name string) (workload.Workload, error) {
	for _, w := range []workload.Workload{workload.Akstursbok(), workload.Kessler()} {
		if w.Name == name {
			return w, nil
		}
	}
	return workload.Workload{}, errors.WithStack(&sardineknot.UnknownError{What: "workload", Name: name})
}

func (c *Command) measure(e runSpec) result.Result {
	n, s := newScheduler(e.scheduler)
	r := slotsim.NewSimulation(e.workload, s, e.fault, e.load, c.duration, c.seed).Run()
	r.Policy = n
	return r
}

// newScheduler returns the name of the scheduler that letter selects, and a new
// instance of it.
func newScheduler(letter string) (string, sardineknot.Scheduler) {
	switch letter {
	case "a":
		return table.RoundRobin, &roundrobin.Scheduler{}
	case "b":
		return table.LeastLoaded, &leastloaded.Scheduler{}
	case "c":
		return table.Timed, timed.NewScheduler()
	case "d":
		return table.Oracle, &oracle.Scheduler{}
	default:
		return table.Shortest, &oracle.Scheduler{ShortestFirst: true}
	}
}
