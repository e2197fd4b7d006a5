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

// askCommand runs a caller.
type askCommand struct {
	via    string
	caller caller.Caller
}

func (*askCommand) Name() string     { return "ask" }
func (*askCommand) Synopsis() string { return "ask the system for one answer" }
func (*askCommand) Usage() string {
	return "ask -via 127.0.0.1:7400 -account verk -work trip-summary -id r1 -prompt \"a b c\"\n  Prints one line about what it got.\n"
}

func (c *askCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.via, "via", "", "addresses of entry hosts, separated by commas")
	f.BoolVar(&c.caller.Direct, "direct", false, "connect to -via without asking for a placement")
	f.StringVar(&c.caller.Account, "account", "", "client account")
	f.StringVar(&c.caller.Work, "work", "", "kind of work")
	f.StringVar(&c.caller.ID, "id", "", "request identifier")
	f.StringVar(&c.caller.Prompt, "prompt", "a prompt", "prompt, or body of a service call")
	f.IntVar(&c.caller.MaxTokens, "tokens", 20, "length of the answer")
	f.BoolVar(&c.caller.Service, "service", false, "call a plain service")
	f.IntVar(&c.caller.Attempts, "attempts", 5, "connections at most")
	f.IntVar(&c.caller.Cut, "cut", 0, "disconnect after this number of tokens")
	f.IntVar(&c.caller.From, "from", 0, "index of the first token to ask for")
	f.DurationVar(&c.caller.Timeout, "timeout", 20*time.Second, "longest time for one connection")
	f.DurationVar(&c.caller.Patience, "patience", 0, "time for which to ask again if the request did not run")
	f.DurationVar(&c.caller.Deadline, "deadline", 0, "time from a connection to the deadline that it tells")
	f.BoolVar(&c.caller.Patient, "patient", false, "ask again when the answer says so")
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
	c.caller.Ask(ctx)
	fmt.Println(&c.caller)
	if c.caller.Outcome != "whole" && c.caller.Outcome != "cut" {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
