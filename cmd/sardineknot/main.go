// Command sardineknot runs and operates a request router for separate prefill
// and decode pools.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"sardineknot.example/sardineknot/internal/command/apply"
	"sardineknot.example/sardineknot/internal/command/bench"
	"sardineknot.example/sardineknot/internal/command/burn"
	"sardineknot.example/sardineknot/internal/command/serve"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&serve.Command{}, "")
	subcommands.Register(&burn.Command{}, "")
	subcommands.Register(&apply.Command{}, "")
	subcommands.Register(&bench.Command{}, "")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	os.Exit(int(subcommands.Execute(ctx)))
}
