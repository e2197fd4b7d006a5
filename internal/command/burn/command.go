// Package burn is the command that reports how fast client accounts use up
// their error budgets.
package burn

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/command/usage"
	"sardineknot.example/sardineknot/internal/operator/target"
	"sardineknot.example/sardineknot/internal/report/burn"
)

const (
	hostTimeout      = 3 * time.Second
	maxResponseBytes = 16 << 20
	// exitBurning is the exit status if any work burns too fast.
	exitBurning = 3
)

// Command is the subcommand "burn".
type Command struct {
	hosts string
	json  bool
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "burn" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "report the burn of error budgets" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `burn -hosts ADDRESS[,ADDRESS...] [-json]
  Adds up the requests of the entry hosts with these admin addresses and prints
  for each client account and work how fast it burns its error budget, over the
  last five minutes and the last hour.
  Exit status: 0 fine, 3 some work burns too fast, 1 a host did not answer (the
  report covers the others), 2 wrong usage.
  Example: sardineknot burn -hosts 127.0.0.1:7600,127.0.0.2:7600
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.hosts, "hosts", "", "admin addresses of entry hosts, separated by commas")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if usage.Wrong(c, f, 0, 0) {
		return subcommands.ExitUsageError
	}
	l, err := target.ParseHosts(c.hosts)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	w, err := collect(ctx, l)
	if err != nil {
		fmt.Fprintln(os.Stderr, errors.Wrap(err, "incomplete report"))
	}
	r := burn.NewReport(w)
	p := c.print(os.Stdout, r)
	switch {
	case err != nil || p != nil:
		return subcommands.ExitFailure
	case r.Burning():
		return exitBurning
	default:
		return subcommands.ExitSuccess
	}
}

func (c *Command) print(w io.Writer, r burn.Report) error {
	if !c.json {
		return r.WriteTable(w)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.WithStack(e.Encode(r))
}

// Print writes the report of the entry hosts with admin addresses l as a table
// to w. It fails if one of them does not answer.
func Print(ctx context.Context, w io.Writer, l []netip.AddrPort) error {
	v, err := collect(ctx, l)
	if err != nil {
		return err
	}
	return burn.NewReport(v).WriteTable(w)
}

// collect returns the windows of all hosts that answer, and the first error.
func collect(ctx context.Context, l []netip.AddrPort) ([]sardineknot.BurnWindows, error) {
	p := make([][]sardineknot.BurnWindows, len(l))
	var g errgroup.Group
	for i, a := range l {
		g.Go(func() error {
			var err error
			p[i], err = fetch(ctx, a)
			return err
		})
	}
	err := g.Wait()
	var w []sardineknot.BurnWindows
	for _, v := range p {
		w = append(w, v...)
	}
	return w, err
}

func fetch(ctx context.Context, a netip.AddrPort) ([]sardineknot.BurnWindows, error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	h, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+"/v1/burn", nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p, err := http.DefaultTransport.RoundTrip(h)
	if err != nil {
		return nil, errors.WithStack(&sardineknot.UnavailableError{Peer: a.String(), Cause: err})
	}
	defer p.Body.Close()
	var w []sardineknot.BurnWindows
	err = json.NewDecoder(io.LimitReader(p.Body, maxResponseBytes)).Decode(&w)
	return w, errors.WithStack(err)
}
