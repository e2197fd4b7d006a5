// Package usage reports wrong command-line arguments, prints the usage of the
// command, and turns the error of a command into its exit status.
package usage

import (
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// WrongArguments reports whether the number of positional arguments in f is
// below minimum or above maximum. If so, it prints the usage of c to the
// standard error.
func WrongArguments(c subcommands.Command, f *flag.FlagSet, minimum, maximum int) bool {
	n := f.NArg()
	if n >= minimum && n <= maximum {
		return false
	}
	if n > maximum {
		fmt.Fprintf(os.Stderr, "%s: unexpected argument %q\n", c.Name(), f.Arg(maximum))
	}
	fmt.Fprint(os.Stderr, c.Usage())
	return true
}

// MissingFlag reports whether the required flag called name has an empty value.
// If so, it prints the usage of c to the standard error.
func MissingFlag(c subcommands.Command, name, value string) bool {
	if value != "" {
		return false
	}
	fmt.Fprintf(os.Stderr, "%s: the flag -%s is required\n", c.Name(), name)
	fmt.Fprint(os.Stderr, c.Usage())
	return true
}

// ExitStatus returns the exit status of a command that ended with err. If err is
// not nil, it prints err to the standard error and returns ExitFailure.
func ExitStatus(err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
