package sardineknot

import (
	"fmt"
	"slices"
	"strings"
)

// PositionError reports a place in an operator's file that breaks its format.
type PositionError struct {
	// File is the path of the file.
	File string
	// Line and Column count from 1. The column counts bytes. Both are zero if
	// the whole file is meant.
	Line   int
	Column int
	// Field is the path of the field, as in "Work[0].FirstToken". It is empty
	// if the whole file is meant.
	Field string
	// Got is the offending value, shortened.
	Got string
	// Expected says what would have been accepted.
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

// InvalidFilesError reports everything that is wrong in a set of files.
type InvalidFilesError struct {
	// Problems is not empty. It is ordered by file and position.
	Problems []*PositionError
}

// NewInvalidFilesError returns the error that reports l, or nil if l is empty.
// It sorts l.
func NewInvalidFilesError(l []*PositionError) error {
	if len(l) == 0 {
		return nil
	}
	slices.SortStableFunc(l, comparePositions)
	return &InvalidFilesError{Problems: l}
}

// Error implements error. Every problem is a line of its own.
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
