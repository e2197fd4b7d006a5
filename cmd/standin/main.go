// Command standin runs a stand-in for one of the systems with which sardineknot
// interacts: the platform, an engine, a plain service, a network path or a
// caller.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&platformCommand{}, "")
	subcommands.Register(&engineCommand{}, "")
	subcommands.Register(&plainCommand{}, "")
	subcommands.Register(&relayCommand{}, "")
	subcommands.Register(&askCommand{}, "")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	os.Exit(int(subcommands.Execute(ctx)))
}
