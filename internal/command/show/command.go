// Package show implements the command show, which prints the accepted revision
// and the revisions that the entry hosts have in force.
package show

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/command/usage"
	"sardineknot.example/sardineknot/internal/operator/admin"
	"sardineknot.example/sardineknot/internal/operator/options"
)

const (
	// exitLagging is the exit status if the store and all hosts responded, but
	// the revision in force on at least one host is not the accepted one.
	exitLagging subcommands.ExitStatus = 3
	// maxParallelHosts is the maximum number of hosts queried concurrently.
	maxParallelHosts = 32
)

// Command is the subcommand "show".
type Command struct {
	options options.Options
	hosts   string
}

// state is the JSON output of the command.
type state struct {
	// Accepted is the last accepted change. The revision is zero if no change
	// has been accepted, or if the store could not be read.
	Accepted sardineknot.ConfigurationChange
	// StoreError is empty if the store could be read.
	StoreError string
	// Hosts is in the order of the flag -hosts.
	Hosts []host
}

// host is the response of one entry host to a query of its revision, or the
// error of that query.
type host struct {
	Address netip.AddrPort
	sardineknot.HostRevision
	// Error is empty if the host responded.
	Error string
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "show" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "show the accepted revision and those in force" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `show -store ADDRESS [-hosts ADDRESS[,ADDRESS...]] [-json]
  Prints the accepted revision, its author, operation and time, and the revision
  that each entry host with these admin addresses has in force.
  Exit status: 0 every host has the accepted revision in force, 3 a host has
  another revision in force, 1 the store or a host did not respond, 2 wrong
  usage.
  Example: sardineknot show -store 127.81.0.1:7000 -hosts 127.81.0.11:7600,127.81.0.12:7600
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.options.AddStoreFlags(f)
	c.options.AddJSONFlag(f)
	f.StringVar(&c.hosts, "hosts", "", "admin addresses of entry hosts, separated by commas")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if usage.WrongArguments(c, f, 0, 0) {
		return subcommands.ExitUsageError
	}
	var l []netip.AddrPort
	var err error
	if c.hosts != "" {
		l, err = options.ParseHosts(c.hosts)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	s, err := c.readState(ctx, l)
	if err == nil {
		err = c.print(s)
	}
	if err != nil {
		return usage.ExitStatus(err)
	}
	return s.exitStatus()
}

// readState queries the store and the entry hosts with the given admin
// addresses. It fails only if the flags are invalid; other errors are part of
// the state.
func (c *Command) readState(ctx context.Context, addresses []netip.AddrPort) (state, error) {
	w, err := c.options.Writer()
	if err != nil {
		return state{}, err
	}
	s := state{Hosts: make([]host, len(addresses))}
	var g errgroup.Group
	g.SetLimit(maxParallelHosts)
	for i, a := range addresses {
		g.Go(func() error {
			s.Hosts[i] = queryHost(ctx, a)
			return nil
		})
	}
	h, _, err := w.Head(ctx)
	if err != nil {
		s.StoreError = err.Error()
	}
	s.Accepted = sardineknot.ConfigurationChange{Revision: h.Revision, Operation: h.Operation, Author: h.Author, AcceptedAt: h.AcceptedAt}
	return s, g.Wait()
}

// queryHost queries the entry host with the given admin address.
func queryHost(ctx context.Context, address netip.AddrPort) host {
	var c admin.Client
	r, err := c.Revision(ctx, address)
	h := host{Address: address, HostRevision: r}
	if err != nil {
		h.Error = err.Error()
	}
	return h
}

// exitStatus returns ExitFailure if a query failed, exitLagging if a host has
// another revision than the accepted one in force, and ExitSuccess otherwise.
func (s state) exitStatus() subcommands.ExitStatus {
	r := subcommands.ExitSuccess
	if s.StoreError != "" {
		r = subcommands.ExitFailure
	}
	for _, h := range s.Hosts {
		switch {
		case h.Error != "":
			r = subcommands.ExitFailure
		case h.Revision != s.Accepted.Revision && r == subcommands.ExitSuccess:
			r = exitLagging
		}
	}
	return r
}

func (c *Command) print(s state) error {
	if c.options.JSON {
		return options.PrintJSON(os.Stdout, s)
	}
	switch a := s.Accepted; {
	case s.StoreError != "":
		fmt.Println("accepted: unknown:", s.StoreError)
	case a.Revision == 0:
		fmt.Println("accepted: nothing")
	default:
		fmt.Printf("accepted: revision %d by %s at %s (operation %s)\n", a.Revision, a.Author, a.AcceptedAt.Format(time.RFC3339), a.Operation)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	for _, h := range s.Hosts {
		if h.Error != "" {
			fmt.Fprintf(t, "%s\t%s\n", h.Address, h.Error)
			continue
		}
		fmt.Fprintf(t, "%s\t%s\tincarnation %d\trevision %d\n", h.Address, h.Host, h.Incarnation, h.Revision)
	}
	return t.Flush()
}
