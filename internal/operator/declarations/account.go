package declarations

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/go-json-experiment/json/jsontext"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/operator/hujson"
)

const (
	// maxWork bounds the kinds of work of a client account.
	maxWork = 64
	// maxRequestsPerSecond bounds the limit of a client account.
	maxRequestsPerSecond = 1000000
	// maxBurst bounds the burst of a client account.
	maxBurst = 1000000
)

// accountFile is the content of a client account's file.
type accountFile struct {
	Account sardineknot.ClientAccountName
	// RequestsPerSecond and Burst are the limits of the contract.
	RequestsPerSecond float64
	Burst             int
	Work              []accountWork
}

// accountWork is a kind of work that a client account chose.
type accountWork struct {
	// Template names the template.
	Template string
	// Name is the name under which callers ask for the work. It is the
	// template's name if it is empty.
	Name sardineknot.WorkName
	// Values gives values to parameters of the template.
	Values map[string]jsontext.Value
}

// contract is a compiled contract and where it was declared.
type contract struct {
	contract sardineknot.Contract
	document *hujson.Document
}

// readAccount adds the client account in o.
func (d *directory) readAccount(o *hujson.Document) {
	var v accountFile
	o.Decode(&v)
	if o.Require("/Account") {
		o.CheckName("/Account", string(v.Account))
	}
	checkLimits(o, v)
	c := sardineknot.Contract{Account: v.Account, RequestsPerSecond: v.RequestsPerSecond, Burst: v.Burst}
	if !o.Require("/Work") || len(v.Work) == 0 || len(v.Work) > maxWork {
		o.Problem("/Work", fmt.Sprint(len(v.Work), " entries long"), fmt.Sprint("1 to ", maxWork, " kinds of work"))
		return
	}
	for i, w := range v.Work {
		c.Work = append(c.Work, d.readWork(o, hujson.Item("/Work", i), w, c.Work))
	}
	slices.SortFunc(c.Work, func(a, b sardineknot.Work) int { return strings.Compare(string(a.Name), string(b.Name)) })
	if d.contracts == nil {
		d.contracts = make(map[sardineknot.ClientAccountName]contract)
	}
	if u, ok := d.contracts[v.Account]; ok {
		o.Value("/Account", v.Account, "a name other than that at "+u.document.Position("/Account"))
		return
	}
	d.contracts[v.Account] = contract{contract: c, document: o}
}

func checkLimits(o *hujson.Document, v accountFile) {
	if v.RequestsPerSecond < 0 || v.RequestsPerSecond > maxRequestsPerSecond {
		o.Value("/RequestsPerSecond", v.RequestsPerSecond, fmt.Sprint("0, which means unlimited, to ", maxRequestsPerSecond))
	}
	switch {
	case v.Burst < 0 || v.Burst > maxBurst:
		o.Value("/Burst", v.Burst, fmt.Sprint("0 to ", maxBurst))
	case v.Burst == 0 && v.RequestsPerSecond > 0:
		o.Value("/Burst", v.Burst, "at least 1 with RequestsPerSecond")
	case v.Burst > 0 && v.RequestsPerSecond == 0:
		o.Value("/Burst", v.Burst, "none without RequestsPerSecond")
	}
}

// readWork returns the work v, which is declared at p of o after the work in
// earlier.
func (d *directory) readWork(o *hujson.Document, p jsontext.Pointer, v accountWork, earlier []sardineknot.Work) sardineknot.Work {
	n := v.Name
	if n == "" {
		n = sardineknot.WorkName(v.Template)
	}
	w := sardineknot.Work{Name: n}
	o.CheckName(p.AppendToken("Name"), string(v.Name))
	if slices.ContainsFunc(earlier, func(e sardineknot.Work) bool { return e.Name == n }) {
		o.Problem(p, "a second work named "+string(n), "each name once")
	}
	if !o.Require(p.AppendToken("Template")) {
		return w
	}
	t := d.templates[v.Template]
	if t == nil {
		o.Value(p.AppendToken("Template"), v.Template, "the name of a template")
		return w
	}
	b := len(o.Problems())
	w = t.compile(o, p, w, v.Values)
	if len(o.Problems()) > b || !t.document.OK() || d.backends.broken {
		return w
	}
	if m := d.backends.missing(w); m != "" {
		o.Problem(p, describe(w), m)
	}
	return w
}

// describe names what serves w.
func describe(w sardineknot.Work) string {
	if w.Kind == sardineknot.WorkService {
		return fmt.Sprintf("work for service %q, which no backend server offers", w.Service)
	}
	return fmt.Sprintf("work for model %q version %q, which no backend server serves", w.Model, w.Version)
}

// compile returns w with what the template says under values, which stand at p
// of o.
func (t *template) compile(o *hujson.Document, p jsontext.Pointer, w sardineknot.Work, values map[string]jsontext.Value) sardineknot.Work {
	w.Kind = t.kind
	q := p.AppendToken("Values")
	for _, n := range slices.Sorted(maps.Keys(values)) {
		if t.parameters[n] == nil {
			o.Problem(q.AppendToken(n), "a value without a parameter", "a parameter of the template at "+t.document.Position(""))
		}
	}
	for _, f := range t.fields {
		v := f.literal
		if f.parameter != "" {
			v = t.resolve(o, q, f, values)
		}
		if v != nil {
			f.set(&w, v)
		}
	}
	return w
}

// resolve returns the value of the parameter of f, or nil if there is a
// problem.
func (t *template) resolve(o *hujson.Document, p jsontext.Pointer, f templateField, values map[string]jsontext.Value) value {
	r := t.parameters[f.parameter]
	if r.broken {
		return nil
	}
	s := " (parameter at " + t.document.Position(r.pointer) + ")"
	b, ok := values[f.parameter]
	if !ok {
		if r.standard == nil {
			o.Problem(p.AppendToken(f.parameter), "missing", r.kind.expected()+s)
		}
		return r.standard
	}
	v, ok := r.parse(o, p.AppendToken(f.parameter), b, s)
	if !ok {
		return nil
	}
	if !f.limits.contain(v) {
		o.Raw(p.AppendToken(f.parameter), f.limits.String()+s)
		return nil
	}
	return v
}
