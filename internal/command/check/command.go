// Package check implements the command check, which validates settings and
// declarations offline.
package check

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math"
	"net/netip"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/command/usage"
	"sardineknot.example/sardineknot/internal/operator/declarations"
	"sardineknot.example/sardineknot/internal/operator/options"
	"sardineknot.example/sardineknot/internal/operator/settings"
)

// gatewayField is the quoted name of a field that settings files for the users'
// platform always have and other settings files never have. It distinguishes
// the two formats.
const gatewayField = `"LookupAddress"`

// Command is the subcommand "check".
type Command struct {
	// Fill replaces the placeholders in a settings template with example values.
	// It is not nil.
	Fill func(template []byte) ([]byte, error)

	options options.Options
	// problems holds the problems found so far.
	problems []*sardineknot.PositionError
	// hosts and addresses map each host ID and each address to the path of the
	// settings file that was last read with it. They serve to detect
	// duplicates.
	hosts     map[sardineknot.EntryHostID]string
	addresses map[netip.AddrPort]string
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "check settings and declarations" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `check [-json] PATH...
  Validates settings files and directories of declarations offline, and prints
  every problem with its file, line, column and field. Entry hosts in different
  files must not have the same ID or address. Settings for the users' platform,
  and templates of them, are recognized by their field LookupAddress.
  Exit status: 0 all valid, 1 problems were found, 2 wrong usage.
  Example: sardineknot check examples/akstursbok/entry-1.jsonc examples/akstursbok/declarations
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.options.AddJSONFlag(f)
}

// Execute implements subcommands.Command.
func (c *Command) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if usage.WrongArguments(c, f, 1, math.MaxInt) {
		return subcommands.ExitUsageError
	}
	c.hosts = make(map[sardineknot.EntryHostID]string)
	c.addresses = make(map[netip.AddrPort]string)
	for _, p := range f.Args() {
		c.addError(p, c.check(p))
	}
	err := c.print()
	if err != nil || len(c.problems) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// check validates the settings file or the directory of declarations at path.
func (c *Command) check(path string) error {
	i, err := os.Stat(path)
	if err != nil {
		return err
	}
	if i.IsDir() {
		_, err = declarations.Load(os.DirFS(path), path)
		return err
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if bytes.Contains(b, []byte(gatewayField)) {
		return c.checkGateway(path, b)
	}
	return c.checkHost(path)
}

// checkGateway validates the file at path, whose content is b: settings of an
// entry host on the users' platform, or a template of such settings.
func (c *Command) checkGateway(path string, b []byte) error {
	b, err := c.Fill(b)
	if err != nil {
		return err
	}
	_, err = settings.ParseGateway(path, b)
	return err
}

// checkHost validates the file at path, which holds settings of an entry host
// with the project's own interface. It checks that the ID and the addresses of
// the host do not occur in files read before.
func (c *Command) checkHost(path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	if o := c.hosts[s.ID]; o != "" {
		c.addProblem(path, "ID", string(s.ID), "another host than that of "+o)
	}
	c.hosts[s.ID] = path
	for f, a := range map[string]netip.AddrPort{"CallerAddress": s.CallerAddress, "PeerAddress": s.PeerAddress, "AdminAddress": s.AdminAddress} {
		if o := c.addresses[a]; o != "" {
			c.addProblem(path, f, a.String(), "an address other than those of "+o)
		}
		c.addresses[a] = path
	}
	return nil
}

// addProblem records a problem without a position.
func (c *Command) addProblem(file, field, got, expected string) {
	c.problems = append(c.problems, &sardineknot.PositionError{File: file, Field: field, Got: got, Expected: expected})
}

// addError records the problems that err reports, or err itself as a problem of
// the file at path. It has no effect if err is nil.
func (c *Command) addError(path string, err error) {
	var v *sardineknot.InvalidFilesError
	switch {
	case err == nil:
	case errors.As(err, &v):
		c.problems = append(c.problems, v.Problems...)
	default:
		c.addProblem(path, "", err.Error(), "a readable file or directory")
	}
}

// print writes the problems as JSON to the standard output, or as text to the
// standard error.
func (c *Command) print() error {
	if c.options.JSON {
		l := c.problems
		if l == nil {
			l = []*sardineknot.PositionError{}
		}
		return options.PrintJSON(os.Stdout, struct{ Problems []*sardineknot.PositionError }{l})
	}
	for _, p := range c.problems {
		fmt.Fprintln(os.Stderr, p)
	}
	return nil
}
