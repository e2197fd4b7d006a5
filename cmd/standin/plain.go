package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"sardineknot.example/sardineknot/internal/standin/fault"
	"sardineknot.example/sardineknot/internal/standin/plain"
	"sardineknot.example/sardineknot/internal/standin/record"
)

// plainCommand runs a stand-in for a plain service.
type plainCommand struct {
	listen string
	name   string
}

func (*plainCommand) Name() string     { return "plain" }
func (*plainCommand) Synopsis() string { return "run a stand-in for a plain service" }
func (*plainCommand) Usage() string {
	return "plain -name dagbok-app-1 -listen 127.0.0.1:7200\n  Records every call that the service runs.\n"
}

func (c *plainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&c.name, "name", "plain", "name of the server")
}

func (c *plainCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	f := &fault.Injector{}
	return serve(ctx, c.listen, f, &plain.Server{Name: c.name, Faults: f, Log: &record.Recorder{}})
}
