// Package demo implements the command demo, which runs the example deployments
// within one process and sends requests to them.
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
	// timeout is the time limit of the whole demo, and of each connection of a
	// caller.
	timeout = 25 * time.Second
	// entryHosts is the number of entry hosts of each deployment.
	entryHosts = 3
	// maxTokens is the maximum length of an answer, in tokens.
	maxTokens = 40
	prompt    = "The dossier of the day lists four drives and one disputed journey."
)

// Command is the subcommand "demo".
type Command struct {
	verbose bool
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "run the example deployments within one process" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `demo [-verbose]
  Runs the two example deployments, one after the other, within this process:
  entry hosts, a platform in memory and small stand-ins of all backend servers.
  Sends requests of every client account over HTTP, prints the outcome of each
  and the burn report, and stops the deployment gracefully.
  Exit status: 0 every request received its whole answer, 1 otherwise, 2 wrong
  usage.
  Example: sardineknot demo
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.verbose, "verbose", false, "log events of the entry hosts to the standard error")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if usage.WrongArguments(c, f, 0, 0) {
		return subcommands.ExitUsageError
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	fmt.Println("This demo keeps its platform in memory: nothing outlives it.")
	for _, n := range []string{"akstursbok", "kessler"} {
		err := c.runDeployment(ctx, os.Stdout, n)
		if err != nil {
			return usage.ExitStatus(err)
		}
	}
	fmt.Println("\nAll requests were answered whole, and both deployments stopped gracefully.")
	return subcommands.ExitSuccess
}

// runDeployment runs the example deployment called name, and writes the
// outcomes of the requests and the burn report to w.
func (c *Command) runDeployment(ctx context.Context, w io.Writer, name string) error {
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
	err = sendRequests(ctx, w, d)
	if err != nil {
		return err
	}
	fmt.Fprintln(w, "\nBurn of the error budgets:")
	err = burn.WriteReport(ctx, w, d.AdminAddresses)
	if err != nil {
		return err
	}
	return d.Stop()
}

// sendRequests sends one request for every kind of work of every client
// account, and writes a table of their outcomes to w.
func sendRequests(ctx context.Context, w io.Writer, d *deployment.Deployment) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ACCOUNT\tWORK\tREQUEST\tOUTCOME\tTOKENS\tFIRST TOKEN\tTIMES RUN")
	for _, k := range d.Configuration.Contracts {
		for _, v := range k.Work {
			err := sendRequest(ctx, t, d, k.Account, v)
			if err != nil {
				return err
			}
		}
	}
	return t.Flush()
}

// sendRequest sends a request for work and writes its outcome to w. A request
// for unrepeatable work is sent twice with the same identifier, to show that it
// runs only once. sendRequest fails if an answer is incomplete or wrong.
func sendRequest(ctx context.Context, w io.Writer, d *deployment.Deployment, account sardineknot.ClientAccountName, work sardineknot.Work) error {
	n := 1
	if work.Unrepeatable {
		n = 2
	}
	for range n {
		c := &caller.Caller{
			Via:       d.CallerAddresses,
			Account:   string(account),
			Work:      string(work.Name),
			ID:        string(work.Name) + "-1",
			Prompt:    prompt,
			MaxTokens: min(maxTokens, work.MaxTokens),
			Service:   work.Kind == sardineknot.WorkService,
			Attempts:  entryHosts,
			Timeout:   timeout,
		}
		c.Do(ctx)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", account, work.Name, c.ID, c.Outcome, c.Tokens, firstToken(c), timesRun(d, account, c.ID, work))
		if c.Outcome != "whole" || c.Wrong != 0 {
			return &sardineknot.RequestFailedError{Reason: fmt.Sprintf("request %s of %s: %s", c.ID, account, c)}
		}
	}
	return nil
}

// firstToken returns the time to the first token, or "-" for a service call.
func firstToken(c *caller.Caller) string {
	if c.Service {
		return "-"
	}
	return c.FirstToken.Round(100 * time.Microsecond).String()
}

// timesRun returns how many times the backend servers have run the service call
// with the given identifier. It returns "-" if work is not a service call.
func timesRun(d *deployment.Deployment, account sardineknot.ClientAccountName, id string, work sardineknot.Work) string {
	if work.Kind != sardineknot.WorkService {
		return "-"
	}
	var n int
	for _, r := range d.Records {
		for _, l := range r.Lines() {
			if strings.HasPrefix(l, "event=ran request="+string(account)+"/"+id+" ") {
				n++
			}
		}
	}
	return fmt.Sprint(n)
}
