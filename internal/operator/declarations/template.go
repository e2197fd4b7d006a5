package declarations

import (
	"fmt"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/operator/hujson"
)

// maxParameters is the maximum number of parameters of a template.
const maxParameters = 64

// templateFile is the content of a file that declares a template.
type templateFile struct {
	Name       string
	Parameters []templateParameter
	Work       templateWork
}

// templateWork is the work that a template declares. Every field but Kind is
// either a literal value or an object whose member Parameter is the name of a
// parameter.
type templateWork struct {
	Kind         sardineknot.WorkKind
	Model        jsontext.Value
	Version      jsontext.Value
	Service      jsontext.Value
	Unrepeatable jsontext.Value
	FirstToken   jsontext.Value
	PerToken     jsontext.Value
	Priority     jsontext.Value
	MaxTokens    jsontext.Value
	Objective    jsontext.Value
}

// template is a template whose declaration has been checked.
type template struct {
	document *hujson.Document
	name     string
	kind     sardineknot.WorkKind
	// parameters holds the parameters by name.
	parameters map[string]*parameter
	// fields holds the fields that the template sets.
	fields []templateField
}

// templateField is a field that a template sets to a literal or to the value of
// a parameter.
type templateField struct {
	field
	// literal is the value if parameter is empty.
	literal value
	// parameter is the name of a parameter of the template.
	parameter string
}

// readTemplate checks the template that file declares and adds it to d.
func (d *directory) readTemplate(file *hujson.Document) {
	var v templateFile
	file.Decode(&v)
	t := &template{document: file, name: v.Name, kind: v.Work.Kind, parameters: make(map[string]*parameter)}
	if file.Require("/Name") {
		file.CheckName("/Name", v.Name)
	}
	if len(v.Parameters) > maxParameters {
		file.Report("/Parameters", "too long", fmt.Sprint("at most ", maxParameters, " parameters"))
		return
	}
	for i, p := range v.Parameters {
		t.readParameter(hujson.Element("/Parameters", i), p)
	}
	if file.Require("/Work") {
		t.readWork(&v.Work)
	}
	if d.templates == nil {
		d.templates = make(map[string]*template)
	}
	if u := d.templates[v.Name]; u != nil {
		file.ReportValue("/Name", v.Name, "a name other than that at "+u.document.Position("/Name"))
		return
	}
	d.templates[v.Name] = t
}

// readWork reads the fields of work. It records missing required fields, fields
// that the kind of work does not permit, and parameters that no field uses.
func (t *template) readWork(work *templateWork) {
	if work.Kind != sardineknot.WorkGeneration && work.Kind != sardineknot.WorkService {
		t.document.ReportValue("/Work/Kind", work.Kind, `"Generation" or "Service"`)
		return
	}
	r, p, u := fieldsOf(work.Kind)
	for _, f := range r {
		if t.document.Require(f.path()) {
			t.readField(f, f.raw(work))
		}
	}
	for _, f := range p {
		if f.raw(work) != nil {
			t.readField(f, f.raw(work))
		}
	}
	for _, f := range u {
		if f.raw(work) != nil {
			t.document.Report(f.path(), "set", fmt.Sprintf("no such field for the kind %s", work.Kind))
		}
	}
	for n, p := range t.parameters {
		if !p.used {
			t.document.ReportValue(p.path.AppendToken("Name"), n, "a parameter that a field of Work uses")
		}
	}
}

// readField adds the field f with the value raw to t. It has no effect if raw is
// nil.
func (t *template) readField(f field, raw jsontext.Value) {
	if raw == nil {
		return
	}
	if raw.Kind() == '{' {
		t.readReference(f, raw)
		return
	}
	v, ok := f.kind.parse(raw)
	if !ok {
		t.document.ReportRaw(f.path(), f.kind.expected())
		return
	}
	if !f.limits.contains(v) {
		t.document.ReportRaw(f.path(), f.limits.String())
		return
	}
	t.fields = append(t.fields, templateField{field: f, literal: v})
}

// readReference adds the field f to t. raw is the value of the field in the
// template file: an object that names the parameter from which the field takes
// its value.
func (t *template) readReference(f field, raw jsontext.Value) {
	var v struct{ Parameter string }
	err := json.Unmarshal(raw, &v, json.RejectUnknownMembers(true))
	p := t.parameters[v.Parameter]
	if err != nil || p == nil {
		t.document.ReportRaw(f.path(), `a value, or {"Parameter": NAME} with a declared parameter`)
		return
	}
	p.used = true
	if p.kind != f.kind {
		t.document.ReportRaw(f.path(), fmt.Sprintf("a parameter of the type %s", f.kind))
		return
	}
	if p.defaultValue != nil && !f.limits.contains(p.defaultValue) {
		t.document.ReportRaw(p.path.AppendToken("Default"), f.limits.String())
		return
	}
	t.fields = append(t.fields, templateField{field: f, parameter: v.Parameter})
}

// path returns the location of the field in a template file.
func (f field) path() jsontext.Pointer {
	return jsontext.Pointer("/Work").AppendToken(f.name)
}
