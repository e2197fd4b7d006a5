package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"

	"github.com/google/subcommands"

	"sardineknot.example/sardineknot/internal/standin/fault"
	"sardineknot.example/sardineknot/internal/standin/relay"
)

// relayCommand runs a TCP relay that models a network path.
type relayCommand struct {
	listen  string
	to      string
	control string
}

func (*relayCommand) Name() string     { return "relay" }
func (*relayCommand) Synopsis() string { return "run a TCP relay that can break or stall connections" }

func (*relayCommand) Usage() string {
	return "relay -listen 127.0.0.1:7300 -to 127.0.0.1:7100 -control 127.0.0.1:7301\n  Relays TCP connections to another address.\n"
}

func (c *relayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to accept connections on")
	f.StringVar(&c.to, "to", "", "address to relay connections to")
	f.StringVar(&c.control, "control", "127.0.0.1:0", "address to listen on for requests that inject faults")
}

func (c *relayCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	a, err := netip.ParseAddrPort(c.to)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	l, err := net.Listen("tcp", c.listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	f := &fault.Injector{}
	r := &relay.Relay{To: a, Faults: f}
	go func() { _ = r.Serve(ctx, l) }()
	return serve(ctx, c.control, f, http.NotFoundHandler())
}
