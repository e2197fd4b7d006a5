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

// Decode decodes the file into v, a pointer to a struct. Every field that is
// unknown, stands twice or does not fit is recorded as a problem. It reports
// whether there was none.
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
		if !d.record(b, err) {
			return false
		}
	}
	return false
}

// record records the problem err of b and blanks out its cause. It reports
// whether decoding can go on.
func (d *Document) record(b []byte, err error) bool {
	r, e := hujson.Parse(b)
	if e != nil {
		d.Problem("", e.Error(), "JSON with comments")
		return false
	}
	p, g, x := explain(err)
	o, i, n := find(&r, p, errors.Is(err, jsontext.ErrDuplicateName) || errors.Is(err, json.ErrUnknownName))
	if o == nil {
		d.add(d.text, r.StartOffset, field(p), g, x)
		return false
	}
	if g == "" {
		g = shorten(string(b[n.StartOffset:n.EndOffset]))
	}
	d.add(d.text, n.StartOffset, field(p), g, x)
	blank(b, o, i)
	return true
}

// explain returns where err is, what was found, if the value does not say it,
// and what was expected.
func explain(err error) (p jsontext.Pointer, got, expected string) {
	var s *json.SemanticError
	var y *jsontext.SyntacticError
	switch {
	case errors.Is(err, jsontext.ErrDuplicateName) && errors.As(err, &y):
		return y.JSONPointer, "declared twice", "one value"
	case errors.Is(err, json.ErrUnknownName) && errors.As(err, &s):
		return s.JSONPointer, "an unknown field", "a field of this format"
	case errors.As(err, &s):
		return s.JSONPointer, "", describe(s)
	case errors.As(err, &y):
		return y.JSONPointer, y.Err.Error(), "JSON with comments"
	default:
		return "", err.Error(), "JSON with comments"
	}
}

// describe says what the Go type of s accepts.
func describe(s *json.SemanticError) string {
	var i *sardineknot.InvalidError
	if errors.As(s.Err, &i) {
		return i.Expected
	}
	if s.GoType == nil {
		return "a value of another kind"
	}
	if s.GoType == reflect.TypeFor[netip.AddrPort]() {
		return `an IP number and a port, as in "127.0.0.1:7400"`
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

// find returns the object or list that holds the value at p, the index of the
// value in it, and the node that gives the position. byName selects the last of
// the members with equal names, and its name for the position.
func find(r *hujson.Value, p jsontext.Pointer, byName bool) (parent *hujson.Value, index int, node *hujson.Value) {
	if p == "" {
		return nil, 0, r
	}
	parent = r.Find(string(p.Parent()))
	if parent == nil {
		return nil, 0, r
	}
	switch v := parent.Value.(type) {
	case *hujson.Object:
		return findMember(parent, v, p.LastToken(), byName)
	case *hujson.Array:
		var n int
		_, err := fmt.Sscan(p.LastToken(), &n)
		if err == nil && n >= 0 && n < len(v.Elements) {
			return parent, n, &v.Elements[n]
		}
	}
	return nil, 0, r
}

func findMember(parent *hujson.Value, o *hujson.Object, name string, byName bool) (p *hujson.Value, index int, node *hujson.Value) {
	index = -1
	for i := range o.Members {
		l, ok := o.Members[i].Name.Value.(hujson.Literal)
		if ok && l.String() == name && (index < 0 || byName) {
			index = i
		}
	}
	if index < 0 {
		return nil, 0, parent
	}
	m := &o.Members[index]
	if byName {
		return parent, index, &m.Name
	}
	return parent, index, &m.Value
}

// blank overwrites item i of parent, with the comma that belongs to it. Items
// of lists become null where that fits, so that the others keep their index.
func blank(b []byte, parent *hujson.Value, i int) {
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
		if e[i]-s[i] >= len("null") {
			copy(b[s[i]:e[i]], "null"+strings.Repeat(" ", e[i]-s[i]))
			return
		}
	}
	f, t := s[i], e[i]
	switch {
	case i+1 < len(s):
		t = s[i+1]
	case i > 0:
		f = e[i-1]
	}
	copy(b[f:t], strings.Repeat(" ", t-f))
}
