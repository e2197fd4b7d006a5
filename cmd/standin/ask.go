package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"sardineknot.example/sardineknot/internal/standin/caller"
)

// askCommand sends a request as a caller.
type askCommand struct {
	via    string
	caller caller.Caller
}

func (*askCommand) Name() string     { return "ask" }
func (*askCommand) Synopsis() string { return "send a request to entry hosts" }
func (*askCommand) Usage() string {
	return "ask -via 127.0.0.1:7400 -account verk -work trip-summary -id r1 -prompt \"a b c\"\n  Sends one request and prints its outcome as one line.\n"
}

func (c *askCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.via, "via", "", "addresses of entry hosts, separated by commas")
	f.BoolVar(&c.caller.Direct, "direct", false, "connect to the hosts in -via without requesting a placement")
	f.StringVar(&c.caller.Account, "account", "", "client account")
	f.StringVar(&c.caller.Work, "work", "", "kind of work")
	f.StringVar(&c.caller.ID, "id", "", "identifier of the request")
	f.StringVar(&c.caller.Prompt, "prompt", "a prompt", "prompt, or body of a service call")
	f.IntVar(&c.caller.MaxTokens, "tokens", 20, "length of the answer")
	f.BoolVar(&c.caller.Service, "service", false, "call a plain service")
	f.IntVar(&c.caller.Attempts, "attempts", 5, "maximum number of connections")
	f.IntVar(&c.caller.Cut, "cut", 0, "disconnect after this number of tokens")
	f.IntVar(&c.caller.From, "from", 0, "index of the first token to request")
	f.DurationVar(&c.caller.Timeout, "timeout", 20*time.Second, "time limit of one connection")
	f.DurationVar(&c.caller.Patience, "patience", 0, "time for which to retry a request that was not run")
	f.DurationVar(&c.caller.Deadline, "deadline", 0, "time from the start of a connection to the deadline that is sent with it")
	f.BoolVar(&c.caller.Patient, "patient", false, "retry at the time that an error response gives")
}

func (c *askCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	for _, s := range strings.Split(c.via, ",") {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitUsageError
		}
		c.caller.Via = append(c.caller.Via, a)
	}
	c.caller.Do(ctx)
	fmt.Println(&c.caller)
	if c.caller.Outcome != "whole" && c.caller.Outcome != "cut" {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
