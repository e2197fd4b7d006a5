// Package serve implements the command serve, which runs an entry host.
package serve

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot/internal/command/usage"
	"sardineknot.example/sardineknot/internal/host/logline"
	"sardineknot.example/sardineknot/internal/host/process"
	"sardineknot.example/sardineknot/internal/operator/settings"
)

// Command is the subcommand "serve".
type Command struct {
	path string
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "run an entry host" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return "serve -settings FILE\n  Runs an entry host until SIGTERM or SIGINT.\n  Example: sardineknot serve -settings examples/akstursbok/entry-1.jsonc\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file of the entry host")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if usage.WrongArguments(c, f, 0, 0) || usage.MissingFlag(c, "settings", c.path) {
		return subcommands.ExitUsageError
	}
	s, err := settings.Load(c.path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	v, err := parseLevel(s.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	signal.Ignore(syscall.SIGPIPE) // the host serves on if the reader of its log has gone
	return usage.ExitStatus(process.NewProcess(s, logline.NewLogger(os.Stderr, v)).Run(ctx))
}

// parseLevel returns the log level called name. An empty name means info.
func parseLevel(name string) (zerolog.Level, error) {
	if name == "" {
		return zerolog.InfoLevel, nil
	}
	return zerolog.ParseLevel(name)
}
