// Package usage reports wrong command-line arguments and prints the usage of the
// command.
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
