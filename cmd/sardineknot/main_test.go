package main

import (
	"flag"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/command/plan"
)

// execute runs c with the arguments a and returns its exit status.
func execute(t *testing.T, c subcommands.Command, a ...string) subcommands.ExitStatus {
	t.Helper()
	f := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	c.SetFlags(f)
	is.New(t).NoErr(f.Parse(a))
	return c.Execute(t.Context(), f)
}

// TestUsage checks that every command exits with the status of wrong usage if
// it has an unexpected argument or lacks a required one.
func TestUsage(t *testing.T) {
	// The commands that require at least one argument and accept any number of
	// them.
	open := map[string]bool{"check": true, "explain": true}
	for _, c := range commands(&plan.Command{}) {
		t.Run(c.Name(), func(t *testing.T) {
			a := []string{"stray"}
			if open[c.Name()] {
				a = nil
			}
			is.New(t).Equal(execute(t, c, a...), subcommands.ExitUsageError)
		})
	}
}
