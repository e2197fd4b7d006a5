package usage_test

import (
	"errors"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/command/usage"
)

// TestExitStatus guards against a command that fails with the status of
// success.
func TestExitStatus(t *testing.T) {
	is := is.New(t)
	is.Equal(usage.ExitStatus(nil), subcommands.ExitSuccess)
	is.Equal(usage.ExitStatus(errors.New("store does not respond")), subcommands.ExitFailure)
}
