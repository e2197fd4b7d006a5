// Command sardineknot runs and operates entry hosts, which route inference
// requests to separate pools of prefill and decode engines.
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
	// An interrupt after the first signal terminates the process immediately. A
	// further SIGTERM has no effect: an orchestrator may repeat it, and the calls
	// in progress would be cut.
	context.AfterFunc(ctx, func() { signal.Reset(os.Interrupt) })
	s := subcommands.Execute(ctx)
	if s == subcommands.ExitUsageError && flag.Arg(0) == p.Name() && !p.Changed() {
		// plan exits with the status of wrong usage if there are changes.
		s = subcommands.ExitFailure
	}
	os.Exit(int(s))
}

// commands returns all subcommands, including planCommand.
func commands(planCommand *plan.Command) []subcommands.Command {
	return []subcommands.Command{
		&serve.Command{},
		&platform.Command{},
		&explain.Command{},
		&burn.Command{},
		&demo.Command{},
		&check.Command{Fill: platform.FillTemplate},
		planCommand,
		&apply.Command{Clock: clock.System{}},
		&show.Command{},
		&bench.Command{},
		&simulate.Command{},
	}
}

// parse parses the command line. It replaces "NAME -help" with "help NAME",
// which exits with status 0 instead of the status of wrong usage.
func parse(arguments []string) {
	for _, h := range []string{"-help", "--help", "-h"} {
		if len(arguments) > 1 && slices.Contains(arguments[1:], h) {
			arguments = []string{"help", arguments[0]}
		}
	}
	// CommandLine exits the process on errors.
	_ = flag.CommandLine.Parse(arguments)
}
