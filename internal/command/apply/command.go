// Package apply implements the command apply, which makes declarations the
// accepted configuration.
package apply

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/command/usage"
	"sardineknot.example/sardineknot/internal/configuration/writer"
	"sardineknot.example/sardineknot/internal/operator/difference"
	"sardineknot.example/sardineknot/internal/operator/options"
)

// The exit statuses that package subcommands does not define: the change
// conflicts with another change, or it is unknown whether the change is in
// force.
const (
	exitConflict       subcommands.ExitStatus = 3
	exitOutcomeUnknown subcommands.ExitStatus = 4
)

// maxAuthorBytes is the maximum length of an author's name, in bytes.
const maxAuthorBytes = 64

// Command is the subcommand "apply". Exported fields must be set before use.
type Command struct {
	// Clock provides the time at which a change is accepted.
	Clock sardineknot.Clock

	options       options.Options
	author        string
	revision      int64
	aboveRevision int64
}

// applied is the JSON output of the command.
type applied struct {
	// Revision is the accepted revision.
	Revision sardineknot.Revision
	// Operation identifies the change. It is empty if there was nothing to
	// change.
	Operation string
	difference.Difference
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "apply" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "put declarations in force" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `apply -store ADDRESS -declarations DIRECTORY [-revision N] [-author NAME] [-json]
  Validates the declarations and makes them the accepted configuration, either
  as a whole or not at all. The change is rejected if the configuration has been
  changed by another operator since revision N, or without -revision, since the
  command started. If there is nothing to change, nothing is written.
  Exit status: 0 accepted, or nothing to change; 1 any error, the change is not
  in force; 2 wrong usage; 3 conflict with another change, which is printed; 4
  it is unknown whether the change is in force: run plan to find out.
  Example: sardineknot apply -store 127.81.0.1:7000 -declarations examples/akstursbok/declarations -revision 12
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.options.AddStoreFlags(f)
	c.options.AddDeclarationsFlag(f)
	c.options.AddJSONFlag(f)
	f.StringVar(&c.author, "author", os.Getenv("USER"), "name of the operator")
	f.Int64Var(&c.revision, "revision", -1, "revision that the change is based on, as printed by plan")
	f.Int64Var(&c.aboveRevision, "above", 0, "revision that the new one must exceed, for a store that was restored to an older state than the entry hosts have")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if usage.WrongArguments(c, f, 0, 0) {
		return subcommands.ExitUsageError
	}
	a, err := c.apply(ctx)
	if err == nil {
		err = c.print(a)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return exitStatus(err)
}

// exitStatus returns the exit status of the command after an execution that
// returned err.
func exitStatus(err error) subcommands.ExitStatus {
	var c *sardineknot.ConfigurationConflictError
	var u *sardineknot.ConfigurationOutcomeUnknownError
	switch {
	case err == nil:
		return subcommands.ExitSuccess
	case errors.As(err, &c):
		return exitConflict
	case errors.As(err, &u):
		return exitOutcomeUnknown
	default:
		return subcommands.ExitFailure
	}
}

// apply writes the declarations to the store. It writes nothing if they equal
// the accepted configuration and the accepted revision exceeds the one in the
// flag -above. It fails with a ConfigurationConflictError if the accepted
// revision is not the one in the flag -revision, or if another change is
// accepted before the declarations are written.
func (c *Command) apply(ctx context.Context) (applied, error) {
	if len(c.author) > maxAuthorBytes {
		return applied{}, errors.WithStack(&sardineknot.InvalidError{What: "-author", Got: c.author, Expected: "at most 64 bytes"})
	}
	n, err := c.options.Load()
	if err != nil {
		return applied{}, err
	}
	w, err := c.options.Writer()
	if err != nil {
		return applied{}, err
	}
	h, r, o, err := w.Accepted(ctx, n)
	if err != nil {
		return applied{}, err
	}
	if c.revision >= 0 && sardineknot.Revision(c.revision) != h.Revision {
		return applied{}, writer.NewConflictError(h, sardineknot.Revision(c.revision))
	}
	d := difference.NewDifference(o, n)
	w.AboveRevision = sardineknot.Revision(c.aboveRevision)
	if d.Empty() && h.Revision > w.AboveRevision {
		return applied{Revision: h.Revision, Difference: d}, nil
	}
	h.Operation = uuid.NewString()
	h.Author = c.author
	h.AcceptedAt = c.Clock.Now().UTC()
	err = w.Write(ctx, n, h, r)
	return applied{Revision: n.Revision, Operation: h.Operation, Difference: d}, err
}

func (c *Command) print(a applied) error {
	if c.options.JSON {
		return options.PrintJSON(os.Stdout, a)
	}
	if a.Operation == "" {
		fmt.Printf("nothing to change, revision %d is accepted\n", a.Revision)
		return nil
	}
	fmt.Printf("accepted revision %d (operation %s): %s\n", a.Revision, a.Operation, a.Summary())
	return nil
}
