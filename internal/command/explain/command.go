// Package explain implements the command explain, which reconstructs the course
// of one request from log files.
package explain

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math"
	"os"

	"github.com/google/subcommands"

	"sardineknot.example/sardineknot/internal/command/usage"
	"sardineknot.example/sardineknot/internal/report/timeline"
)

// Command is the subcommand "explain".
type Command struct{}

// Name implements subcommands.Command.
func (*Command) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "reconstruct the course of a request from logs" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return "explain REQUEST [FILE...]\n  Reads the logs of any number of hosts from the files, or from the standard input.\n  Exit status: 0 found, 1 not found or unreadable, 2 wrong usage.\n"
}

// SetFlags implements subcommands.Command.
func (*Command) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *Command) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if usage.WrongArguments(c, f, 1, math.MaxInt) {
		return subcommands.ExitUsageError
	}
	s := timeline.NewTimeline(f.Arg(0))
	err := readAll(s, f.Args()[1:])
	if err != nil {
		return usage.ExitStatus(err)
	}
	ok := s.Write(os.Stdout)
	fmt.Fprintf(os.Stderr, "%d lines are not log events\n", s.Skipped)
	if !ok {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// readAll adds the log files at paths to s, or the standard input if paths is
// empty.
func readAll(s *timeline.Timeline, paths []string) error {
	if len(paths) == 0 {
		return s.Read(os.Stdin)
	}
	for _, p := range paths {
		err := readFile(s, p)
		if err != nil {
			return err
		}
	}
	return nil
}

func readFile(s *timeline.Timeline, path string) error {
	var r io.ReadCloser
	r, err := os.Open(path)
	if err != nil {
		return err
	}
	defer r.Close()
	return s.Read(r)
}
