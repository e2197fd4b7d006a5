// Command sardineknot runs and operates a request router for separate prefill
// and decode pools.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/google/subcommands"

	"sardineknot.example/sardineknot/internal/command/apply"
	"sardineknot.example/sardineknot/internal/command/bench"
	"sardineknot.example/sardineknot/internal/command/burn"
	"sardineknot.example/sardineknot/internal/command/check"
	"sardineknot.example/sardineknot/internal/command/demo"
	"sardineknot.example/sardineknot/internal/command/explain"
	"sardineknot.example/sardineknot/internal/command/plan"
	"sardineknot.example/sardineknot/internal/command/serve"
	"sardineknot.example/sardineknot/internal/command/show"
	"sardineknot.example/sardineknot/internal/command/simulate"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/platform"
)

func main() {
	p := &plan.Command{}
	subcommands.Register(subcommands.HelpCommand(), "")
	for _, c := range commands(p) {
		subcommands.Register(c, "")
	}
	parse(os.Args[1:])
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, cancel)
	s := subcommands.Execute(ctx)
	if s == subcommands.ExitUsageError && flag.Arg(0) == p.Name() && !p.Changed() {
		// The status of wrong usage means changes for this command.
		s = subcommands.ExitFailure
	}
	os.Exit(int(s))
}

// commands returns all commands, among them p.
func commands(p *plan.Command) []subcommands.Command {
	return []subcommands.Command{
		&serve.Command{},
		&platform.Command{},
		&explain.Command{},
		&burn.Command{},
		&demo.Command{},
		&check.Command{Fill: platform.FillTemplate},
		p,
		&apply.Command{Clock: clock.System{}},
		&show.Command{},
		&bench.Command{},
		&simulate.Command{},
	}
}

// parse parses the arguments a. It turns "NAME -help" into "help NAME", which
// ends with status zero.
func parse(a []string) {
	for _, h := range []string{"-help", "--help", "-h"} {
		if len(a) > 1 && slices.Contains(a[1:], h) {
			a = []string{"help", a[0]}
		}
	}
	// The flag set exits on errors.
	_ = flag.CommandLine.Parse(a)
}
