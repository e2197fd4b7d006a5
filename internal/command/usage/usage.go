// Package usage tells users of a command how it is called.
package usage

import (
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// Wrong reports whether f has less than least or more than most arguments. It
// prints the usage of c then.
func Wrong(c subcommands.Command, f *flag.FlagSet, least, most int) bool {
	n := f.NArg()
	if n >= least && n <= most {
		return false
	}
	if n > most {
		fmt.Fprintf(os.Stderr, "%s: unexpected argument %q\n", c.Name(), f.Arg(most))
	}
	fmt.Fprint(os.Stderr, c.Usage())
	return true
}

// Missing reports whether the flag of that name was left without a value. It
// prints the usage of c then.
func Missing(c subcommands.Command, name, value string) bool {
	if value != "" {
		return false
	}
	fmt.Fprintf(os.Stderr, "%s: the flag -%s is missing\n", c.Name(), name)
	fmt.Fprint(os.Stderr, c.Usage())
	return true
}
