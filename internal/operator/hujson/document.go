// Package hujson reads operators' files: JSON with comments and trailing
// commas, decoded strictly and with the position of every problem.
//
// A value that does not decode is blanked out and decoding goes on, so that
// one pass over a file reports all of its problems.
package hujson

import (
	"bytes"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/tailscale/hujson"

	"sardineknot.example/sardineknot"
)

const (
	// MaxFileBytes bounds a file, in bytes.
	MaxFileBytes = 1 << 20
	// maxProblems bounds the problems that are reported for one file.
	maxProblems = 100
	// maxDepth bounds the nesting of a file.
	maxDepth = 32
	// maxGotBytes bounds the values that are quoted in a problem.
	maxGotBytes = 64
)

// Document is a parsed file. It collects the problems that are found in it. It
// is not safe for concurrent use.
type Document struct {
	file string
	// text is the file without comments. Offsets are those of the file.
	text []byte
	// root is nil if the file does not parse.
	root *hujson.Value
	// problems is at most maxProblems long.
	problems []*sardineknot.PositionError
}

// Open returns the document in the file at path of f. name names it in
// problems.
func Open(f fs.FS, path, name string) *Document {
	var r io.ReadCloser
	r, err := f.Open(path)
	if err != nil {
		return broken(name, err.Error(), "a readable file")
	}
	defer r.Close()
	b, err := io.ReadAll(io.LimitReader(r, MaxFileBytes+1))
	if err != nil {
		return broken(name, err.Error(), "a readable file")
	}
	return Parse(name, b)
}

// Parse returns the document with the content b. file names it in problems.
func Parse(file string, b []byte) *Document {
	if len(b) > MaxFileBytes {
		return broken(file, "more than 1 MiB long", "at most 1 MiB")
	}
	d := &Document{file: file}
	if n := tooDeep(b); n >= 0 {
		d.add(b, n, "", "nested deeper than 32 levels", "at most 32 levels")
		return d
	}
	// A line comment at the end of a file needs no line feed here, but does in
	// the parser.
	v, err := hujson.Parse(append(slices.Clip(b), '\n'))
	if err != nil {
		n, m := syntax(b, err)
		d.add(b, n, "", "not parsed: "+m, "JSON with comments")
		return d
	}
	v.Standardize()
	d.text = v.Pack()
	r, err := hujson.Parse(d.text)
	if err != nil {
		d.add(b, 0, "", err.Error(), "JSON with comments")
		return d
	}
	d.root = &r
	return d
}

// Problems returns what was found so far.
func (d *Document) Problems() []*sardineknot.PositionError {
	return d.problems
}

// OK reports whether no problem was found so far.
func (d *Document) OK() bool { return len(d.problems) == 0 }

// Has reports whether the file has a value at p.
func (d *Document) Has(p jsontext.Pointer) bool {
	return d.root != nil && d.root.Find(string(p)) != nil
}

// Problem records that the value at p is wrong. If the file has no such value,
// the nearest enclosing one gives the position. It has no effect on a file that
// does not parse, which has its problem already.
func (d *Document) Problem(p jsontext.Pointer, got, expected string) {
	if d.root == nil {
		return
	}
	d.add(d.text, d.offset(p), field(p), got, expected)
}

// Value records that the value at p, which is quoted, is wrong.
func (d *Document) Value(p jsontext.Pointer, got any, expected string) {
	d.Problem(p, strconv.Quote(shorten(fmt.Sprint(got))), expected)
}

// Position returns the place of the value at p, as in "file:3:7".
func (d *Document) Position(p jsontext.Pointer) string {
	l, c := lineColumn(d.text, d.offset(p))
	return fmt.Sprintf("%s:%d:%d", d.file, l, c)
}

func (d *Document) offset(p jsontext.Pointer) int {
	if d.root == nil {
		return 0
	}
	for {
		if v := d.root.Find(string(p)); v != nil {
			return v.StartOffset
		}
		if p == "" {
			return d.root.StartOffset
		}
		p = p.Parent()
	}
}

// add records a problem at offset of b, unless there is one of the same field.
func (d *Document) add(b []byte, offset int, field, got, expected string) {
	if len(d.problems) >= maxProblems {
		return
	}
	l, c := lineColumn(b, offset)
	if slices.ContainsFunc(d.problems, func(e *sardineknot.PositionError) bool {
		return e.Line == l && e.Column == c && e.Field == field
	}) {
		return
	}
	d.problems = append(d.problems, &sardineknot.PositionError{
		File: d.file, Line: l, Column: c, Field: field, Got: got, Expected: expected,
	})
}

func broken(file, got, expected string) *Document {
	e := &sardineknot.PositionError{File: file, Got: got, Expected: expected}
	return &Document{file: file, problems: []*sardineknot.PositionError{e}}
}

// field returns p in the form "Work[0].FirstToken".
func field(p jsontext.Pointer) string {
	var b strings.Builder
	for t := range p.Tokens() {
		if _, err := strconv.Atoi(t); err == nil {
			fmt.Fprintf(&b, "[%s]", t)
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(t)
	}
	return shorten(b.String())
}

func lineColumn(b []byte, offset int) (line, column int) {
	b = b[:min(offset, len(b))]
	return 1 + bytes.Count(b, []byte("\n")), len(b) - bytes.LastIndexByte(b, '\n')
}

// syntax returns the offset and the message of a syntax error, which hujson
// reports with the line and column at the start of its text.
func syntax(b []byte, err error) (offset int, message string) {
	var l, c int
	_, e := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &l, &c)
	if e != nil {
		return 0, err.Error()
	}
	for ; l > 1; l-- {
		offset += bytes.IndexByte(b[offset:], '\n') + 1
	}
	m := strings.SplitN(err.Error(), ": ", 3)
	return offset + c - 1, m[len(m)-1]
}

func shorten(s string) string {
	if len(s) <= maxGotBytes {
		return s
	}
	return s[:maxGotBytes] + "..."
}

// Raw records that the value at p, which is quoted as it stands in the file,
// is wrong.
func (d *Document) Raw(p jsontext.Pointer, expected string) {
	if d.root == nil {
		return
	}
	v := d.root.Find(string(p))
	if v == nil {
		d.Problem(p, "missing", expected)
		return
	}
	d.Problem(p, shorten(string(d.text[v.StartOffset:v.EndOffset])), expected)
}

// Refuse records a problem of the whole file in place of all others.
func (d *Document) Refuse(got, expected string) {
	d.problems = broken(d.file, got, expected).problems
}
