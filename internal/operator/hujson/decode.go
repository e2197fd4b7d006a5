package hujson

import (
	"bytes"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/codec"
)

// Decode decodes the file into v, a pointer to a struct. It records a problem
// for every field that is unknown, duplicate or of the wrong type, and reports
// whether the document has no problems.
func (d *Document) Decode(v any) bool {
	if d.root == nil {
		return false
	}
	b := bytes.Clone(d.text)
	for range maxProblems {
		reflect.ValueOf(v).Elem().SetZero()
		err := json.Unmarshal(b, v, codec.Durations())
		if err == nil {
			return d.OK()
		}
		if !d.recordError(b, err) {
			return false
		}
	}
	return false
}

// recordError records err, an error of decoding content, as a problem. It then
// overwrites the value that caused the error with blanks in content, and
// reports whether content can be decoded again.
func (d *Document) recordError(content []byte, err error) bool {
	r, e := hujson.Parse(content)
	if e != nil {
		d.Report("", e.Error(), "JSON with comments")
		return false
	}
	p, g, x := classify(err)
	o, i, n := findNode(&r, p, errors.Is(err, jsontext.ErrDuplicateName) || errors.Is(err, json.ErrUnknownName))
	if o == nil {
		d.addProblem(d.text, r.StartOffset, fieldPath(p), g, x)
		return false
	}
	if g == "" {
		g = truncate(string(content[n.StartOffset:n.EndOffset]))
	}
	d.addProblem(d.text, n.StartOffset, fieldPath(p), g, x)
	blankOut(content, o, i)
	return true
}

// classify returns the location of the decoding error err, what was found
// there, and what was expected. got is empty if the message of the problem is
// to quote the value itself.
func classify(err error) (pointer jsontext.Pointer, got, expected string) {
	var s *json.SemanticError
	var y *jsontext.SyntacticError
	switch {
	case errors.Is(err, jsontext.ErrDuplicateName) && errors.As(err, &y):
		return y.JSONPointer, "declared twice", "one value"
	case errors.Is(err, json.ErrUnknownName) && errors.As(err, &s):
		return s.JSONPointer, "an unknown field", "a field of this format"
	case errors.As(err, &s):
		return s.JSONPointer, "", expectedValue(s)
	case errors.As(err, &y):
		return y.JSONPointer, y.Err.Error(), "JSON with comments"
	default:
		return "", err.Error(), "JSON with comments"
	}
}

// expectedValue describes the values that the Go type of s accepts.
func expectedValue(s *json.SemanticError) string {
	var i *sardineknot.InvalidError
	if errors.As(s.Err, &i) {
		return i.Expected
	}
	if s.GoType == nil {
		return "a value of another kind"
	}
	if s.GoType == reflect.TypeFor[netip.AddrPort]() {
		return `an IP address and a port, as in "127.0.0.1:7400"`
	}
	switch s.GoType.Kind() {
	case reflect.Int, reflect.Int64, reflect.Int32:
		return "an integer"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a list"
	default:
		return "an object"
	}
}

// findNode returns the object or list that contains the value at pointer, the
// index of the value in it, and the node whose position is to be reported. If
// byName is true, it selects the last of several members with the same name,
// and node is the name of this member instead of its value. If the value is not
// found, parent is nil and node is the nearest node found.
func findNode(root *hujson.Value, pointer jsontext.Pointer, byName bool) (parent *hujson.Value, index int, node *hujson.Value) {
	if pointer == "" {
		return nil, 0, root
	}
	parent = root.Find(string(pointer.Parent()))
	if parent == nil {
		return nil, 0, root
	}
	switch v := parent.Value.(type) {
	case *hujson.Object:
		return findMember(parent, v, pointer.LastToken(), byName)
	case *hujson.Array:
		var n int
		_, err := fmt.Sscan(pointer.LastToken(), &n)
		if err == nil && n >= 0 && n < len(v.Elements) {
			return parent, n, &v.Elements[n]
		}
	}
	return nil, 0, root
}

// findMember implements findNode for the member called name of object. parent
// is the value that holds object. It is returned as container if the member is
// found.
func findMember(parent *hujson.Value, object *hujson.Object, name string, byName bool) (container *hujson.Value, index int, node *hujson.Value) {
	index = -1
	for i := range object.Members {
		l, ok := object.Members[i].Name.Value.(hujson.Literal)
		if ok && l.String() == name && (index < 0 || byName) {
			index = i
		}
	}
	if index < 0 {
		return nil, 0, parent
	}
	m := &object.Members[index]
	if byName {
		return parent, index, &m.Name
	}
	return parent, index, &m.Value
}

// blankOut overwrites the member or element of parent at index, and one
// adjacent comma, with blanks in text. A list element of at least four bytes is
// replaced by null instead, so that the following elements keep their indexes.
func blankOut(text []byte, parent *hujson.Value, index int) {
	var s, e []int
	switch v := parent.Value.(type) {
	case *hujson.Object:
		for _, m := range v.Members {
			s = append(s, m.Name.StartOffset)
			e = append(e, m.Value.EndOffset)
		}
	case *hujson.Array:
		for _, m := range v.Elements {
			s = append(s, m.StartOffset)
			e = append(e, m.EndOffset)
		}
		if e[index]-s[index] >= len("null") {
			copy(text[s[index]:e[index]], "null"+strings.Repeat(" ", e[index]-s[index]))
			return
		}
	}
	f, t := s[index], e[index]
	switch {
	case index+1 < len(s):
		t = s[index+1]
	case index > 0:
		f = e[index-1]
	}
	copy(text[f:t], strings.Repeat(" ", t-f))
}
