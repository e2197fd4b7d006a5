package serve_test

import (
	"flag"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/command/serve"
)

// execute runs the command with the arguments a and returns its exit status.
func execute(t *testing.T, a ...string) subcommands.ExitStatus {
	t.Helper()
	c := &serve.Command{}
	f := flag.NewFlagSet("serve", flag.ContinueOnError)
	c.SetFlags(f)
	is.New(t).NoErr(f.Parse(a))
	return c.Execute(t.Context(), f)
}

func TestUsage(t *testing.T) {
	t.Run("a positional argument is wrong usage", func(t *testing.T) {
		is.New(t).Equal(execute(t, "file.jsonc"), subcommands.ExitUsageError)
	})
	t.Run("a missing required flag is wrong usage", func(t *testing.T) {
		is.New(t).Equal(execute(t), subcommands.ExitUsageError)
	})
}
