// Package demo is the command that shows the whole system within one process.
package demo

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/examples"
	"sardineknot.example/sardineknot/internal/command/burn"
	"sardineknot.example/sardineknot/internal/command/usage"
	"sardineknot.example/sardineknot/internal/demo/deployment"
	"sardineknot.example/sardineknot/internal/host/logline"
	"sardineknot.example/sardineknot/internal/standin/caller"
)

const (
	// timeout bounds the whole demo.
	timeout = 25 * time.Second
	// entryHosts is the number of entry hosts of each deployment.
	entryHosts = 3
	// tokens bounds the length of an answer.
	tokens = 40
	prompt = "The dossier of the day lists four drives and one disputed journey."
)

// Command is the subcommand "demo".
type Command struct {
	verbose bool
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "show the whole system within one process" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `demo [-verbose]
  Runs the two example deployments, one after the other, in this process: entry
  hosts, a platform in memory and small stand-ins of all backend servers. Sends
  requests of every client account over HTTP, prints what happened to each and
  the burn report, and stops gracefully.
  Exit status: 0 every request was answered whole, 1 not so.
  Example: sardineknot demo
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.verbose, "verbose", false, "log the events of the entry hosts to the standard error")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if usage.Wrong(c, f, 0, 0) {
		return subcommands.ExitUsageError
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	fmt.Println("This demo keeps its platform in memory: nothing outlives it.")
	for _, n := range []string{"akstursbok", "kessler"} {
		err := c.show(ctx, os.Stdout, n)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
	}
	fmt.Println("\nAll requests were answered whole, and both deployments stopped gracefully.")
	return subcommands.ExitSuccess
}

// show runs one deployment and writes what happened to w.
func (c *Command) show(ctx context.Context, w io.Writer, name string) error {
	l := zerolog.Nop()
	if c.verbose {
		l = logline.NewLogger(os.Stderr, zerolog.InfoLevel)
	}
	d, err := deployment.Start(ctx, examples.Files, name, entryHosts, l)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "\n%s: %d entry hosts, %d backend servers, %d client accounts, revision %d in force\n\n",
		name, entryHosts, len(d.Configuration.BackendServers), len(d.Configuration.Contracts), d.Configuration.Revision)
	err = ask(ctx, w, d)
	if err != nil {
		return err
	}
	fmt.Fprintln(w, "\nBurn of the error budgets:")
	err = burn.Print(ctx, w, d.Admins)
	if err != nil {
		return err
	}
	return d.Stop()
}

// ask sends one request for every kind of work of every client account, and
// an unrepeatable one twice.
func ask(ctx context.Context, w io.Writer, d *deployment.Deployment) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ACCOUNT\tWORK\tREQUEST\tOUTCOME\tTOKENS\tFIRST TOKEN\tTIMES RUN")
	for _, k := range d.Configuration.Contracts {
		for _, v := range k.Work {
			err := askWork(ctx, t, d, k.Account, v)
			if err != nil {
				return err
			}
		}
	}
	return t.Flush()
}

func askWork(ctx context.Context, w io.Writer, d *deployment.Deployment, a sardineknot.ClientAccountName, v sardineknot.Work) error {
	n := 1
	if v.Unrepeatable {
		n = 2
	}
	for range n {
		c := &caller.Caller{
			Via:       d.Entries,
			Account:   string(a),
			Work:      string(v.Name),
			ID:        string(v.Name) + "-1",
			Prompt:    prompt,
			MaxTokens: min(tokens, v.MaxTokens),
			Service:   v.Kind == sardineknot.WorkService,
			Attempts:  entryHosts,
			Timeout:   timeout,
		}
		c.Ask(ctx)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", a, v.Name, c.ID, c.Outcome, c.Tokens, firstToken(c), timesRun(d, a, c.ID, v))
		if c.Outcome != "whole" || c.Wrong != 0 {
			return &sardineknot.RequestFailedError{Reason: fmt.Sprintf("request %s of %s: %s", c.ID, a, c)}
		}
	}
	return nil
}

func firstToken(c *caller.Caller) string {
	if c.Service {
		return "-"
	}
	return c.FirstToken.Round(100 * time.Microsecond).String()
}

// timesRun counts the runs of a service call that the backend servers saw.
func timesRun(d *deployment.Deployment, a sardineknot.ClientAccountName, id string, v sardineknot.Work) string {
	if v.Kind != sardineknot.WorkService {
		return "-"
	}
	var n int
	for _, r := range d.Records {
		for _, l := range r.Lines() {
			if strings.HasPrefix(l, "event=ran request="+string(a)+"/"+id+" ") {
				n++
			}
		}
	}
	return fmt.Sprint(n)
}
