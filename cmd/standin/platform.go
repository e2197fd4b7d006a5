package main

import (
	"context"
	"flag"
	"net/http"

	"github.com/google/subcommands"

	"sardineknot.example/sardineknot/internal/standin/etcd"
	"sardineknot.example/sardineknot/internal/standin/fault"
	"sardineknot.example/sardineknot/internal/standin/httpsd"
	"sardineknot.example/sardineknot/internal/standin/record"
)

// platformCommand runs a stand-in for the platform's key-value service and host
// list.
type platformCommand struct {
	listen string
}

func (*platformCommand) Name() string { return "platform" }
func (*platformCommand) Synopsis() string {
	return "run a stand-in for the key-value service and the host list"
}

func (*platformCommand) Usage() string {
	return "platform -listen 127.0.0.1:7000\n  Serves etcd v3 JSON below /v3 and the host list at /hosts, in memory.\n"
}

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	f := &fault.Injector{}
	r := &record.Recorder{}
	m := http.NewServeMux()
	s := etcd.NewServer(f, r)
	m.Handle("/v3/", s)
	m.HandleFunc("POST /standin/snapshot", s.ServeSnapshot)
	m.HandleFunc("POST /standin/restore", s.ServeRestore)
	m.Handle("/hosts", httpsd.NewServer(f, r))
	m.Handle("GET "+record.Path, r)
	return serve(ctx, c.listen, f, m)
}
