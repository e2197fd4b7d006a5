package sardineknot

import (
	"fmt"
	"slices"
	"strings"
)

// PositionError reports an invalid value, and its position, in a file that an
// operator has written.
type PositionError struct {
	// File is the path of the file.
	File string
	// Line and Column count from 1. Column counts bytes. Both are zero if the
	// error concerns the whole file.
	Line   int
	Column int
	// Field is the path of the field, such as "Work[0].FirstToken". It is empty
	// if the error concerns the whole file.
	Field string
	// Got is the invalid value, possibly truncated.
	Got string
	// Expected describes the values that are accepted.
	Expected string
}

// Error implements error.
func (e *PositionError) Error() string {
	p := e.File
	if e.Line > 0 {
		p = fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
	}
	f := e.Field
	if f == "" {
		f = "the file"
	}
	return fmt.Sprintf("%s: %s is %s, expected %s", p, f, e.Got, e.Expected)
}

// InvalidFilesError reports all problems found in a set of files.
type InvalidFilesError struct {
	// Problems is not empty. It is ordered by file and position.
	Problems []*PositionError
}

// NewInvalidFilesError returns an InvalidFilesError that reports problems, or
// nil if problems is empty. It sorts problems by file and position.
func NewInvalidFilesError(problems []*PositionError) error {
	if len(problems) == 0 {
		return nil
	}
	slices.SortStableFunc(problems, comparePositions)
	return &InvalidFilesError{Problems: problems}
}

// Error implements error. It returns one line for each problem.
func (e *InvalidFilesError) Error() string {
	l := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		l[i] = p.Error()
	}
	return strings.Join(l, "\n")
}

// Unwrap returns the problems.
func (e *InvalidFilesError) Unwrap() []error {
	l := make([]error, len(e.Problems))
	for i, p := range e.Problems {
		l[i] = p
	}
	return l
}

func comparePositions(a, b *PositionError) int {
	if c := strings.Compare(a.File, b.File); c != 0 {
		return c
	}
	if a.Line != b.Line {
		return a.Line - b.Line
	}
	return a.Column - b.Column
}
