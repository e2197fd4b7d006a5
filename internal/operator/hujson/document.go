// Package hujson decodes files that operators write: JSON with comments and
// trailing commas. Decoding is strict, and every problem is reported with its
// position.
//
// A value that cannot be decoded is overwritten with blanks and decoding is
// repeated, so that all problems of a file are reported at once.
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
	// MaxFileBytes is the maximum size of a file, in bytes.
	MaxFileBytes = 1 << 20
	// maxProblems is the maximum number of problems reported for one file.
	maxProblems = 100
	// maxDepth is the maximum nesting depth of objects and lists.
	maxDepth = 32
	// maxQuotedBytes is the length to which values and field paths are truncated
	// in problems, in bytes.
	maxQuotedBytes = 64
)

// Document is a parsed file together with the problems found in it. It is not
// safe for concurrent use.
type Document struct {
	file string
	// text is the content in standard JSON. Comments and trailing commas are
	// replaced by blanks, so that offsets equal those in the file.
	text []byte
	// root is the syntax tree of text, or nil if the file cannot be parsed.
	root *hujson.Value
	// problems holds at most maxProblems entries.
	problems []*sardineknot.PositionError
}

// Open reads and parses the file at path in fsys. name is the name of the file
// in the positions of problems. If the file cannot be read, this is the only
// problem of the returned document.
func Open(fsys fs.FS, path, name string) *Document {
	var r io.ReadCloser
	r, err := fsys.Open(path)
	if err != nil {
		return invalidDocument(name, err.Error(), "a readable file")
	}
	defer r.Close()
	b, err := io.ReadAll(io.LimitReader(r, MaxFileBytes+1))
	if err != nil {
		return invalidDocument(name, err.Error(), "a readable file")
	}
	return Parse(name, b)
}

// Parse parses content. file is the name of the file in the positions of
// problems. If content cannot be parsed, this is the only problem of the
// returned document.
func Parse(file string, content []byte) *Document {
	if len(content) > MaxFileBytes {
		return invalidDocument(file, "more than 1 MiB long", "at most 1 MiB")
	}
	d := &Document{file: file}
	if n := findExcessDepth(content); n >= 0 {
		d.addProblem(content, n, "", "nested deeper than 32 levels", "at most 32 levels")
		return d
	}
	// The parser requires a line feed after a line comment. The appended line
	// feed permits such a comment at the end of a file.
	v, err := hujson.Parse(append(slices.Clip(content), '\n'))
	if err != nil {
		n, m := parseSyntaxError(content, err)
		d.addProblem(content, n, "", "malformed: "+m, "JSON with comments")
		return d
	}
	v.Standardize()
	d.text = v.Pack()
	r, err := hujson.Parse(d.text)
	if err != nil {
		d.addProblem(content, 0, "", err.Error(), "JSON with comments")
		return d
	}
	d.root = &r
	return d
}

// Problems returns the problems recorded so far.
func (d *Document) Problems() []*sardineknot.PositionError {
	return d.problems
}

// OK reports whether no problem has been recorded so far.
func (d *Document) OK() bool { return len(d.problems) == 0 }

// Has reports whether the file has a value at pointer.
func (d *Document) Has(pointer jsontext.Pointer) bool {
	return d.root != nil && d.root.Find(string(pointer)) != nil
}

// Report records that the value at pointer is invalid. If the file has no such
// value, the position is that of the nearest enclosing value. Report has no
// effect if the file could not be parsed, because that problem is recorded
// already.
func (d *Document) Report(pointer jsontext.Pointer, got, expected string) {
	if d.root == nil {
		return
	}
	d.addProblem(d.text, d.offset(pointer), fieldPath(pointer), got, expected)
}

// ReportValue records that the value at pointer, whose decoded form is got, is
// invalid. The problem quotes got.
func (d *Document) ReportValue(pointer jsontext.Pointer, got any, expected string) {
	d.Report(pointer, strconv.Quote(truncate(fmt.Sprint(got))), expected)
}

// Position returns the file, line and column of the value at pointer, as in
// "file:3:7".
func (d *Document) Position(pointer jsontext.Pointer) string {
	l, c := lineColumn(d.text, d.offset(pointer))
	return fmt.Sprintf("%s:%d:%d", d.file, l, c)
}

// offset returns the offset in text of the value at pointer, or of the nearest
// enclosing value if the file has no value there. It returns zero if the file
// could not be parsed.
func (d *Document) offset(pointer jsontext.Pointer) int {
	if d.root == nil {
		return 0
	}
	for {
		if v := d.root.Find(string(pointer)); v != nil {
			return v.StartOffset
		}
		if pointer == "" {
			return d.root.StartOffset
		}
		pointer = pointer.Parent()
	}
}

// addProblem records a problem at offset in text. It has no effect if a problem
// of the same field at the same position is recorded already, or if maxProblems
// problems are recorded.
func (d *Document) addProblem(text []byte, offset int, field, got, expected string) {
	if len(d.problems) >= maxProblems {
		return
	}
	l, c := lineColumn(text, offset)
	if slices.ContainsFunc(d.problems, func(e *sardineknot.PositionError) bool {
		return e.Line == l && e.Column == c && e.Field == field
	}) {
		return
	}
	d.problems = append(d.problems, &sardineknot.PositionError{
		File: d.file, Line: l, Column: c, Field: field, Got: got, Expected: expected,
	})
}

// invalidDocument returns a document whose only problem concerns the whole file.
func invalidDocument(file, got, expected string) *Document {
	e := &sardineknot.PositionError{File: file, Got: got, Expected: expected}
	return &Document{file: file, problems: []*sardineknot.PositionError{e}}
}

// fieldPath returns pointer in the form "Work[0].FirstToken", truncated to
// maxQuotedBytes.
func fieldPath(pointer jsontext.Pointer) string {
	var b strings.Builder
	for t := range pointer.Tokens() {
		if _, err := strconv.Atoi(t); err == nil {
			fmt.Fprintf(&b, "[%s]", t)
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(t)
	}
	return truncate(b.String())
}

// lineColumn returns the line and column of offset in text, both counted from 1.
// Columns count bytes.
func lineColumn(text []byte, offset int) (line, column int) {
	text = text[:min(offset, len(text))]
	return 1 + bytes.Count(text, []byte("\n")), len(text) - bytes.LastIndexByte(text, '\n')
}

// parseSyntaxError returns the offset in text and the message of the syntax
// error err. The hujson parser reports the line and column only as a prefix of
// the error's text. The offset is zero if err lacks this prefix.
func parseSyntaxError(text []byte, err error) (offset int, message string) {
	var l, c int
	_, e := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &l, &c)
	if e != nil {
		return 0, err.Error()
	}
	for ; l > 1; l-- {
		offset += bytes.IndexByte(text[offset:], '\n') + 1
	}
	m := strings.SplitN(err.Error(), ": ", 3)
	return offset + c - 1, m[len(m)-1]
}

// truncate returns s, shortened to maxQuotedBytes and an ellipsis if it is
// longer.
func truncate(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return s[:maxQuotedBytes] + "..."
}

// ReportRaw records that the value at pointer is invalid, or missing if the
// file has no such value. The problem quotes the JSON text of the value.
// ReportRaw has no effect if the file could not be parsed.
func (d *Document) ReportRaw(pointer jsontext.Pointer, expected string) {
	if d.root == nil {
		return
	}
	v := d.root.Find(string(pointer))
	if v == nil {
		d.Report(pointer, "missing", expected)
		return
	}
	d.Report(pointer, truncate(string(d.text[v.StartOffset:v.EndOffset])), expected)
}

// ReportFile replaces all problems by a single one that concerns the whole
// file.
func (d *Document) ReportFile(got, expected string) {
	d.problems = invalidDocument(d.file, got, expected).problems
}
