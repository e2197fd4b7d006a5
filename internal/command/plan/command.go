// Package plan implements the command plan, which shows the changes that
// applying declarations would make.
package plan

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/command/usage"
	"sardineknot.example/sardineknot/internal/operator/difference"
	"sardineknot.example/sardineknot/internal/operator/options"
)

// ExitChanges is the exit status if the declarations differ from the accepted
// configuration.
const ExitChanges subcommands.ExitStatus = 2

// Command is the subcommand "plan".
type Command struct {
	options options.Options
	// changed is set by Execute if there are changes.
	changed bool
}

// plan is the JSON output of the command.
type plan struct {
	// Revision is the accepted revision, to be passed to apply -revision.
	Revision sardineknot.Revision
	difference.Difference
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "plan" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "show what apply would change" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `plan -store ADDRESS -declarations DIRECTORY [-json]
  Validates the declarations and lists the client accounts, backend servers and
  links that differ from the accepted configuration. Pass the printed revision
  to apply -revision.
  Exit status: 0 no changes, 2 changes, 1 any error.
  Example: sardineknot plan -store 127.81.0.1:7000 -declarations examples/akstursbok/declarations
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.options.AddStoreFlags(f)
	c.options.AddDeclarationsFlag(f)
	c.options.AddJSONFlag(f)
}

// Changed reports whether Execute found changes. It distinguishes ExitChanges
// from subcommands.ExitUsageError, which has the same value.
func (c *Command) Changed() bool { return c.changed }

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if usage.WrongArguments(c, f, 0, 0) {
		return subcommands.ExitUsageError
	}
	p, err := c.compare(ctx)
	if err == nil {
		err = c.print(p)
	}
	if err != nil {
		return usage.ExitStatus(err)
	}
	c.changed = !p.Empty()
	if c.changed {
		return ExitChanges
	}
	return subcommands.ExitSuccess
}

// compare returns the difference between the accepted configuration and the
// declarations.
func (c *Command) compare(ctx context.Context) (plan, error) {
	n, err := c.options.Load()
	if err != nil {
		return plan{}, err
	}
	w, err := c.options.Writer()
	if err != nil {
		return plan{}, err
	}
	h, _, o, err := w.Accepted(ctx, n)
	if err != nil {
		return plan{}, err
	}
	return plan{Revision: h.Revision, Difference: difference.NewDifference(o, n)}, nil
}

func (c *Command) print(p plan) error {
	if c.options.JSON {
		return options.PrintJSON(os.Stdout, p)
	}
	fmt.Println("accepted revision", p.Revision)
	return p.Write(os.Stdout)
}
