package declarations

import (
	"fmt"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/operator/hujson"
)

// maxParameters bounds the parameters of a template.
const maxParameters = 64

// templateFile is the content of a template's file.
type templateFile struct {
	Name       string
	Parameters []templateParameter
	Work       templateWork
}

// templateWork is the work in a template's file. Every field but Kind is a
// value, or an object whose field Parameter names a parameter.
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

// template is a checked template.
type template struct {
	document *hujson.Document
	name     string
	kind     sardineknot.WorkKind
	// parameters holds the parameters by name.
	parameters map[string]*parameter
	// fields are the fields that the template sets.
	fields []templateField
}

// templateField is a field that takes its value from the template itself or
// from a parameter.
type templateField struct {
	field
	// literal is set if parameter is empty.
	literal value
	// parameter names a parameter of the template.
	parameter string
}

// readTemplate adds the template in o.
func (d *directory) readTemplate(o *hujson.Document) {
	var v templateFile
	o.Decode(&v)
	t := &template{document: o, name: v.Name, kind: v.Work.Kind, parameters: make(map[string]*parameter)}
	if o.Require("/Name") {
		o.CheckName("/Name", v.Name)
	}
	if len(v.Parameters) > maxParameters {
		o.Problem("/Parameters", "too long", fmt.Sprint("at most ", maxParameters, " parameters"))
		return
	}
	for i, p := range v.Parameters {
		t.readParameter(hujson.Item("/Parameters", i), p)
	}
	if o.Require("/Work") {
		t.readWork(&v.Work)
	}
	if d.templates == nil {
		d.templates = make(map[string]*template)
	}
	if u := d.templates[v.Name]; u != nil {
		o.Value("/Name", v.Name, "a name other than that at "+u.document.Position("/Name"))
		return
	}
	d.templates[v.Name] = t
}

func (t *template) readWork(v *templateWork) {
	if v.Kind != sardineknot.WorkGeneration && v.Kind != sardineknot.WorkService {
		t.document.Value("/Work/Kind", v.Kind, `"Generation" or "Service"`)
		return
	}
	r, p, u := fieldsOf(v.Kind)
	for _, f := range r {
		if t.document.Require(f.pointer()) {
			t.readField(f, f.raw(v))
		}
	}
	for _, f := range p {
		if f.raw(v) != nil {
			t.readField(f, f.raw(v))
		}
	}
	for _, f := range u {
		if f.raw(v) != nil {
			t.document.Problem(f.pointer(), "set", fmt.Sprintf("no such field for the kind %s", v.Kind))
		}
	}
	for n, p := range t.parameters {
		if !p.used {
			t.document.Value(p.pointer.AppendToken("Name"), n, "a parameter that a field of Work uses")
		}
	}
}

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
		t.document.Raw(f.pointer(), f.kind.expected())
		return
	}
	if !f.limits.contain(v) {
		t.document.Raw(f.pointer(), f.limits.String())
		return
	}
	t.fields = append(t.fields, templateField{field: f, literal: v})
}

// readReference reads a field that takes the value of a parameter.
func (t *template) readReference(f field, raw jsontext.Value) {
	var v struct{ Parameter string }
	err := json.Unmarshal(raw, &v, json.RejectUnknownMembers(true))
	p := t.parameters[v.Parameter]
	if err != nil || p == nil {
		t.document.Raw(f.pointer(), `a value, or {"Parameter": NAME} with a declared parameter`)
		return
	}
	p.used = true
	if p.kind != f.kind {
		t.document.Raw(f.pointer(), fmt.Sprintf("a parameter of the type %s", f.kind))
		return
	}
	if p.standard != nil && !f.limits.contain(p.standard) {
		t.document.Raw(p.pointer.AppendToken("Default"), f.limits.String())
		return
	}
	t.fields = append(t.fields, templateField{field: f, parameter: v.Parameter})
}

func (f field) pointer() jsontext.Pointer {
	return jsontext.Pointer("/Work").AppendToken(f.name)
}
