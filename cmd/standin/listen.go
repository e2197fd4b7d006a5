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

// serve answers on address with h under faults c until ctx is done. It prints
// the address once it listens.
func serve(ctx context.Context, address string, c *fault.Control, h http.Handler) subcommands.ExitStatus {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println(l.Addr())
	s := &http.Server{Handler: c.Wrap(h)}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	err = s.Serve(l)
	if ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
