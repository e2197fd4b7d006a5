package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/google/subcommands"

	"sardineknot.example/sardineknot/internal/standin/fault"
)

// serve serves handler on address, with the given faults injected, until ctx is
// done. It prints the address on which it listens.
func serve(ctx context.Context, address string, faults *fault.Injector, handler http.Handler) subcommands.ExitStatus {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println(l.Addr())
	s := &http.Server{Handler: faults.Wrap(handler)}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	err = s.Serve(l)
	if ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
