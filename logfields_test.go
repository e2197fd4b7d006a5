package sardineknot_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// loggerFields holds the fields that every line of a process has.
var loggerFields = []string{"time", "level", "host"}

// TestLogFields checks that no log line has a field twice: a reader of the line
// could not tell which of the two values counts.
func TestLogFields(t *testing.T) {
	n := 0
	for _, p := range sources(t) {
		f, err := parser.ParseFile(token.NewFileSet(), p, nil, 0)
		is.New(t).NoErr(err)
		ast.Inspect(f, func(x ast.Node) bool {
			c, ok := x.(*ast.CallExpr)
			if !ok || methodName(c) != "Send" {
				return true
			}
			n++
			checkFields(t, p, fieldNames(c))
			return true
		})
	}
	is.New(t).True(n > 50) // the search has found the log lines
}

// checkFields checks that the fields of a line in the file at path are distinct
// and differ from loggerFields.
func checkFields(t *testing.T, path string, fields []string) {
	t.Helper()
	s := make(map[string]bool)
	for _, f := range loggerFields {
		s[f] = true
	}
	for _, f := range fields {
		if s[f] {
			t.Errorf("%s: a log line has the field %q twice", path, f)
		}
		s[f] = true
	}
}

// methodName returns the name of the method that call calls, or "".
func methodName(call *ast.CallExpr) string {
	s, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	return s.Sel.Name
}

// fieldNames returns the names of the fields that a chain of calls adds to a
// line: the first argument of each call if it is a string literal, and "error"
// for Err.
func fieldNames(call *ast.CallExpr) []string {
	var l []string
	for call != nil {
		if methodName(call) == "Err" {
			l = append(l, "error")
		}
		if s, ok := firstLiteral(call); ok {
			l = append(l, s)
		}
		call = receiverCall(call)
	}
	return l
}

// firstLiteral returns the first argument of call if it is a string literal.
func firstLiteral(call *ast.CallExpr) (text string, ok bool) {
	if len(call.Args) == 0 {
		return "", false
	}
	b, ok := call.Args[0].(*ast.BasicLit)
	if !ok || b.Kind != token.STRING {
		return "", false
	}
	s, err := strconv.Unquote(b.Value)
	return s, err == nil
}

// receiverCall returns the call whose result is the receiver of call, or nil.
func receiverCall(call *ast.CallExpr) *ast.CallExpr {
	s, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return nil
	}
	c, _ := s.X.(*ast.CallExpr)
	return c
}
