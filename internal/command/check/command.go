// Package check is the command that checks settings and declarations without
// a running system.
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
	"sardineknot.example/sardineknot/internal/operator/settings"
	"sardineknot.example/sardineknot/internal/operator/target"
)

// gatewayField is in all settings for the users' platform and in no others.
const gatewayField = `"LookupAddress"`

// Command is the subcommand "check".
type Command struct {
	// Fill replaces the placeholders in a template of settings by examples.
	Fill func(template []byte) ([]byte, error)

	target target.Target
	// problems are what was found.
	problems []*sardineknot.PositionError
	// hosts and addresses hold the file that named them first.
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
  Checks files with settings and directories with declarations, offline, and
  prints every problem with its file, line, column and field. The entry hosts
  of several files must not share an ID or an address. Files for the users'
  platform, and templates of them, are known by their LookupAddress.
  Exit status: 0 all valid, 1 problems were found, 2 wrong usage.
  Example: sardineknot check examples/akstursbok/entry-1.jsonc examples/akstursbok/declarations
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.target.SetJSON(f)
}

// Execute implements subcommands.Command.
func (c *Command) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if usage.Wrong(c, f, 1, math.MaxInt) {
		return subcommands.ExitUsageError
	}
	c.hosts = make(map[sardineknot.EntryHostID]string)
	c.addresses = make(map[netip.AddrPort]string)
	for _, p := range f.Args() {
		c.add(p, c.check(p))
	}
	err := c.print()
	if err != nil || len(c.problems) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// check checks the file or directory at p.
func (c *Command) check(p string) error {
	i, err := os.Stat(p)
	if err != nil {
		return err
	}
	if i.IsDir() {
		_, err = declarations.Load(os.DirFS(p), p)
		return err
	}
	b, err := os.ReadFile(p)
	if err != nil {
		return err
	}
	if bytes.Contains(b, []byte(gatewayField)) {
		return c.checkGateway(p, b)
	}
	return c.checkHost(p)
}

// checkGateway checks the settings b of an entry host on the users' platform, or
// a template of them.
func (c *Command) checkGateway(p string, b []byte) error {
	b, err := c.Fill(b)
	if err != nil {
		return err
	}
	_, err = settings.ParseGateway(p, b)
	return err
}

// checkHost checks the settings of an entry host of the project's own interface.
func (c *Command) checkHost(p string) error {
	s, err := settings.Load(p)
	if err != nil {
		return err
	}
	if o := c.hosts[s.ID]; o != "" {
		c.refuse(p, "ID", string(s.ID), "another host than that of "+o)
	}
	c.hosts[s.ID] = p
	for f, a := range map[string]netip.AddrPort{"CallerAddress": s.CallerAddress, "PeerAddress": s.PeerAddress, "AdminAddress": s.AdminAddress} {
		if o := c.addresses[a]; o != "" {
			c.refuse(p, f, a.String(), "another address than those of "+o)
		}
		c.addresses[a] = p
	}
	return nil
}

func (c *Command) refuse(file, field, got, expected string) {
	c.problems = append(c.problems, &sardineknot.PositionError{File: file, Field: field, Got: got, Expected: expected})
}

// add adds the problems in err, if any.
func (c *Command) add(p string, err error) {
	var v *sardineknot.InvalidFilesError
	switch {
	case err == nil:
	case errors.As(err, &v):
		c.problems = append(c.problems, v.Problems...)
	default:
		c.refuse(p, "", err.Error(), "a file or directory that can be read")
	}
}

func (c *Command) print() error {
	if c.target.JSON {
		l := c.problems
		if l == nil {
			l = []*sardineknot.PositionError{}
		}
		return target.Print(os.Stdout, struct{ Problems []*sardineknot.PositionError }{l})
	}
	for _, p := range c.problems {
		fmt.Fprintln(os.Stderr, p)
	}
	return nil
}
