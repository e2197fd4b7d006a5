package declarations

import (
	"fmt"

	"github.com/go-json-experiment/json/jsontext"

	"sardineknot.example/sardineknot/internal/operator/hujson"
)

// templateParameter is a parameter as declared in a template file.
type templateParameter struct {
	Name string
	Type valueType
	// Default is absent if every account must give a value.
	Default jsontext.Value
	// Minimum and Maximum are the smallest and largest permitted values. They
	// are optional.
	Minimum jsontext.Value
	Maximum jsontext.Value
}

// parameter is a parameter whose declaration has been checked.
type parameter struct {
	kind   valueType
	bounds bounds
	// defaultValue is nil if every account must give a value.
	defaultValue value
	// path is the location of the declaration in the template's file.
	path jsontext.Pointer
	// invalid is set if the declaration has a problem. The values that accounts
	// assign to the parameter are then not checked.
	invalid bool
	// used is set if a field of the template refers to the parameter.
	used bool
}

// readParameter checks the parameter declared at pointer and adds it to t.
func (t *template) readParameter(pointer jsontext.Pointer, declared templateParameter) {
	o := t.document
	if o.Require(pointer.AppendToken("Name")) {
		o.CheckName(pointer.AppendToken("Name"), declared.Name)
	}
	if t.parameters[declared.Name] != nil {
		o.ReportValue(pointer.AppendToken("Name"), declared.Name, "each parameter once")
		return
	}
	r := &parameter{kind: declared.Type, path: pointer}
	t.parameters[declared.Name] = r
	n := len(o.Problems())
	defer func() { r.invalid = len(o.Problems()) > n }()
	if declared.Type.expected() == "" {
		o.ReportValue(pointer.AppendToken("Type"), declared.Type, `"Duration", "Integer", "Share", "Boolean" or "Name"`)
		return
	}
	r.bounds = t.readBounds(pointer, declared)
	if declared.Default != nil {
		s, ok := r.parse(o, pointer.AppendToken("Default"), declared.Default, "")
		if ok {
			r.defaultValue = s
		}
	}
}

// readBounds returns the bounds of the parameter declared at pointer. If
// Minimum or Maximum is invalid, readBounds records a problem and leaves that
// bound nil.
func (t *template) readBounds(pointer jsontext.Pointer, declared templateParameter) bounds {
	var b bounds
	for _, e := range []struct {
		name string
		raw  jsontext.Value
		end  *value
	}{{"Minimum", declared.Minimum, &b.minimum}, {"Maximum", declared.Maximum, &b.maximum}} {
		if e.raw == nil {
			continue
		}
		q := pointer.AppendToken(e.name)
		if !declared.Type.ordered() {
			t.document.Report(q, "set", fmt.Sprintf("no bounds for the type %s", declared.Type))
			continue
		}
		n, ok := declared.Type.parse(e.raw)
		if !ok {
			t.document.ReportRaw(q, declared.Type.expected())
			continue
		}
		*e.end = n
	}
	if b.minimum != nil && b.maximum != nil && number(b.minimum) > number(b.maximum) {
		t.document.ReportRaw(pointer.AppendToken("Minimum"), fmt.Sprintf("at most the Maximum %v", b.maximum))
	}
	return b
}

// parse decodes raw, which is the value at pointer in file, and checks it
// against the type and bounds of the parameter. If the value is invalid, parse
// records a problem, whose description of the expected value ends with reason.
func (r *parameter) parse(file *hujson.Document, pointer jsontext.Pointer, raw jsontext.Value, reason string) (v value, ok bool) {
	v, ok = r.kind.parse(raw)
	if !ok {
		file.ReportRaw(pointer, r.kind.expected()+reason)
		return nil, false
	}
	if !r.bounds.contains(v) {
		file.ReportRaw(pointer, r.bounds.String()+reason)
		return nil, false
	}
	return v, true
}
