package declarations

import (
	"fmt"

	"github.com/go-json-experiment/json/jsontext"

	"sardineknot.example/sardineknot/internal/operator/hujson"
)

// templateParameter is a parameter in a template's file.
type templateParameter struct {
	Name string
	Type valueType
	// Default is absent if every account must give a value.
	Default jsontext.Value
	// Minimum and Maximum bound the values, both included.
	Minimum jsontext.Value
	Maximum jsontext.Value
}

// parameter is a checked parameter.
type parameter struct {
	kind   valueType
	bounds bounds
	// standard is the default, or nil.
	standard value
	// pointer is where the parameter is declared.
	pointer jsontext.Pointer
	// broken reports that the declaration has a problem, so that accounts
	// cannot be checked against it.
	broken bool
	// used reports that a field of the template takes its value from here.
	used bool
}

// readParameter adds the parameter v, which is declared at p.
func (t *template) readParameter(p jsontext.Pointer, v templateParameter) {
	o := t.document
	if o.Require(p.AppendToken("Name")) {
		o.CheckName(p.AppendToken("Name"), v.Name)
	}
	if t.parameters[v.Name] != nil {
		o.Value(p.AppendToken("Name"), v.Name, "each parameter once")
		return
	}
	r := &parameter{kind: v.Type, pointer: p}
	t.parameters[v.Name] = r
	n := len(o.Problems())
	defer func() { r.broken = len(o.Problems()) > n }()
	if v.Type.expected() == "" {
		o.Value(p.AppendToken("Type"), v.Type, `"Duration", "Integer", "Share", "Boolean" or "Name"`)
		return
	}
	r.bounds = t.readBounds(p, v)
	if v.Default != nil {
		s, ok := r.parse(o, p.AppendToken("Default"), v.Default, "")
		if ok {
			r.standard = s
		}
	}
}

func (t *template) readBounds(p jsontext.Pointer, v templateParameter) bounds {
	var b bounds
	for _, e := range []struct {
		name string
		raw  jsontext.Value
		end  *value
	}{{"Minimum", v.Minimum, &b.minimum}, {"Maximum", v.Maximum, &b.maximum}} {
		if e.raw == nil {
			continue
		}
		q := p.AppendToken(e.name)
		if !v.Type.ordered() {
			t.document.Problem(q, "set", fmt.Sprintf("no bounds for the type %s", v.Type))
			continue
		}
		n, ok := v.Type.parse(e.raw)
		if !ok {
			t.document.Raw(q, v.Type.expected())
			continue
		}
		*e.end = n
	}
	if b.minimum != nil && b.maximum != nil && number(b.minimum) > number(b.maximum) {
		t.document.Raw(p.AppendToken("Minimum"), fmt.Sprintf("at most the Maximum %v", b.maximum))
	}
	return b
}

// parse returns the value b of the parameter, which stands at p of o. reason
// is added to what was expected.
func (r *parameter) parse(o *hujson.Document, p jsontext.Pointer, b jsontext.Value, reason string) (v value, ok bool) {
	v, ok = r.kind.parse(b)
	if !ok {
		o.Raw(p, r.kind.expected()+reason)
		return nil, false
	}
	if !r.bounds.contain(v) {
		o.Raw(p, r.bounds.String()+reason)
		return nil, false
	}
	return v, true
}
