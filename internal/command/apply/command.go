// Package apply is the command that puts a configuration in force.
package apply

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot/internal/configuration/codec"
	"sardineknot.example/sardineknot/internal/configuration/writer"
	"sardineknot.example/sardineknot/internal/platform/etcd"
)

// Command is the subcommand "apply".
type Command struct {
	path  string
	store string
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "apply" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "put a configuration in force" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return "apply -store ADDRESS -configuration FILE\n  Writes the configuration to the platform's key-value service.\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "configuration", "", "file with the compiled configuration")
	f.StringVar(&c.store, "store", "", "address of the platform's key-value service")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.apply(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Command) apply(ctx context.Context) error {
	a, err := netip.ParseAddrPort(c.store)
	if err != nil {
		return errors.WithStack(err)
	}
	b, err := os.ReadFile(c.path)
	if err != nil {
		return errors.WithStack(err)
	}
	n, err := codec.Decode(b)
	if err != nil {
		return err
	}
	w := writer.NewWriter(etcd.NewClient(a, 0))
	h, r, err := w.Head(ctx)
	if err != nil {
		return err
	}
	return w.Write(ctx, n, h, r)
}
