// Package burn implements the command burn, which reports the burn rates of
// client accounts' error budgets.
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
	"sardineknot.example/sardineknot/internal/operator/options"
	"sardineknot.example/sardineknot/internal/peer/nethttp"
	"sardineknot.example/sardineknot/internal/report/burn"
)

const (
	hostTimeout      = 3 * time.Second
	maxResponseBytes = 16 << 20
	// exitBurning is the exit status if the burn rate of any work exceeds the
	// threshold.
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
func (*Command) Synopsis() string { return "report the burn rates of error budgets" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `burn -hosts ADDRESS[,ADDRESS...] [-json]
  Sums the requests counted by the entry hosts with these admin addresses and
  prints the burn rate of the error budget of each client account and work over
  the last five minutes and the last hour.
  Exit status: 0 no burn rate is too high, 3 a burn rate is too high, 1 a host
  did not respond (the report covers the others), 2 wrong usage.
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
	if usage.WrongArguments(c, f, 0, 0) {
		return subcommands.ExitUsageError
	}
	l, err := options.ParseHosts(c.hosts)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	w, err := collect(ctx, l)
	if err != nil {
		fmt.Fprintln(os.Stderr, errors.Wrap(err, "incomplete report"))
	}
	r := burn.NewReport(w)
	p := c.printReport(os.Stdout, r)
	switch {
	case err != nil || p != nil:
		return subcommands.ExitFailure
	case r.Burning():
		return exitBurning
	default:
		return subcommands.ExitSuccess
	}
}

func (c *Command) printReport(w io.Writer, r burn.Report) error {
	if !c.json {
		return r.WriteTable(w)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.WithStack(e.Encode(r))
}

// WriteReport writes the report of the entry hosts with the given admin
// addresses to w as a table. It fails without writing if a host does not
// respond.
func WriteReport(ctx context.Context, w io.Writer, hosts []netip.AddrPort) error {
	v, err := collect(ctx, hosts)
	if err != nil {
		return err
	}
	return burn.NewReport(v).WriteTable(w)
}

// collect returns the burn windows of all entry hosts that respond. If queries
// of other hosts fail, it also returns the first error.
func collect(ctx context.Context, hosts []netip.AddrPort) ([]sardineknot.BurnWindows, error) {
	p := make([][]sardineknot.BurnWindows, len(hosts))
	var g errgroup.Group
	for i, a := range hosts {
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

// fetch returns the burn windows of the entry host with the given admin
// address, one for each client account and work.
func fetch(ctx context.Context, address netip.AddrPort) ([]sardineknot.BurnWindows, error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	h, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/v1/burn", nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p, err := nethttp.NewTransport(&http.Transport{DisableKeepAlives: true}).RoundTrip(h)
	if err != nil {
		return nil, errors.WithStack(&sardineknot.UnavailableError{Peer: address.String(), Cause: err})
	}
	defer p.Body.Close()
	// A decoder would not read the end, and miss that the response broke off.
	b, err := io.ReadAll(io.LimitReader(p.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.WithStack(&sardineknot.UnavailableError{Peer: address.String(), Cause: err})
	}
	var w []sardineknot.BurnWindows
	err = json.Unmarshal(b, &w)
	return w, errors.WithStack(err)
}
