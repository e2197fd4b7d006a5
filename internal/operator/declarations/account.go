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
	// maxWork is the maximum number of kinds of work that a client account
	// declares.
	maxWork = 64
	// maxRequestsPerSecond is the maximum rate limit of a client account.
	maxRequestsPerSecond = 1000000
	// maxBurst is the maximum burst of a client account.
	maxBurst = 1000000
)

// accountFile is the content of a file that declares a client account.
type accountFile struct {
	Account sardineknot.ClientAccountName
	// RequestsPerSecond and Burst are the rate limit of the contract. Zero
	// RequestsPerSecond means unlimited.
	RequestsPerSecond float64
	Burst             int
	Work              []accountWork
}

// accountWork is a kind of work that a client account may request.
type accountWork struct {
	// Template names the template.
	Template string
	// Name is the name by which callers request the work. Empty means the
	// template's name.
	Name sardineknot.WorkName
	// Values holds the values of template parameters by parameter name.
	Values map[string]jsontext.Value
}

// contract is a compiled contract and the document that declares it.
type contract struct {
	contract sardineknot.Contract
	document *hujson.Document
}

// readAccount compiles the client account that file declares and adds it to d.
// Backend servers and templates must have been read before.
func (d *directory) readAccount(file *hujson.Document) {
	var v accountFile
	file.Decode(&v)
	if file.Require("/Account") {
		file.CheckName("/Account", string(v.Account))
	}
	checkLimits(file, v)
	c := sardineknot.Contract{Account: v.Account, RequestsPerSecond: v.RequestsPerSecond, Burst: v.Burst}
	if !file.Require("/Work") || len(v.Work) == 0 || len(v.Work) > maxWork {
		file.Report("/Work", fmt.Sprint(len(v.Work), " entries long"), fmt.Sprint("1 to ", maxWork, " kinds of work"))
		return
	}
	for i, w := range v.Work {
		c.Work = append(c.Work, d.readWork(file, hujson.Element("/Work", i), w, c.Work))
	}
	slices.SortFunc(c.Work, func(a, b sardineknot.Work) int { return strings.Compare(string(a.Name), string(b.Name)) })
	if d.contracts == nil {
		d.contracts = make(map[sardineknot.ClientAccountName]contract)
	}
	if u, ok := d.contracts[v.Account]; ok {
		file.ReportValue("/Account", v.Account, "a name other than that at "+u.document.Position("/Account"))
		return
	}
	d.contracts[v.Account] = contract{contract: c, document: file}
}

// checkLimits records a problem in file if RequestsPerSecond or Burst of
// account is out of range, or if only one of them is set.
func checkLimits(file *hujson.Document, account accountFile) {
	if account.RequestsPerSecond < 0 || account.RequestsPerSecond > maxRequestsPerSecond {
		file.ReportValue("/RequestsPerSecond", account.RequestsPerSecond, fmt.Sprint("0, which means unlimited, to ", maxRequestsPerSecond))
	}
	switch {
	case account.Burst < 0 || account.Burst > maxBurst:
		file.ReportValue("/Burst", account.Burst, fmt.Sprint("0 to ", maxBurst))
	case account.Burst == 0 && account.RequestsPerSecond > 0:
		file.ReportValue("/Burst", account.Burst, "at least 1 with RequestsPerSecond")
	case account.Burst > 0 && account.RequestsPerSecond == 0:
		file.ReportValue("/Burst", account.Burst, "no Burst without RequestsPerSecond")
	}
}

// readWork compiles the work declared at pointer in file. earlier holds the
// work that the same account declares before it. The new work must not have the
// same name as any of these. In case of a problem, the result may be
// incomplete.
func (d *directory) readWork(file *hujson.Document, pointer jsontext.Pointer, declared accountWork, earlier []sardineknot.Work) sardineknot.Work {
	n := declared.Name
	if n == "" {
		n = sardineknot.WorkName(declared.Template)
	}
	w := sardineknot.Work{Name: n}
	file.CheckName(pointer.AppendToken("Name"), string(declared.Name))
	if slices.ContainsFunc(earlier, func(e sardineknot.Work) bool { return e.Name == n }) {
		file.Report(pointer, "a duplicate of the work "+string(n), "each name once")
	}
	if !file.Require(pointer.AppendToken("Template")) {
		return w
	}
	t := d.templates[declared.Template]
	if t == nil {
		file.ReportValue(pointer.AppendToken("Template"), declared.Template, "the name of a template")
		return w
	}
	b := len(file.Problems())
	w = t.compile(file, pointer, w, declared.Values)
	if len(file.Problems()) > b || !t.document.OK() || d.backends.invalid {
		return w
	}
	if m := d.backends.unmetRequirement(w); m != "" {
		file.Report(pointer, describeUnserved(w), m)
	}
	return w
}

// describeUnserved returns the text of the problem that no backend server
// provides the service or model that work needs.
func describeUnserved(work sardineknot.Work) string {
	if work.Kind == sardineknot.WorkService {
		return fmt.Sprintf("work for service %q, which no backend server offers", work.Service)
	}
	return fmt.Sprintf("work for model %q version %q, which no backend server serves", work.Model, work.Version)
}

// compile returns a copy of work in which the fields that the template sets are
// set. values holds the values that an account assigns to the template's
// parameters, and pointer is the location in file of the account's work, which
// contains them. Fields whose values are invalid stay unset.
func (t *template) compile(file *hujson.Document, pointer jsontext.Pointer, work sardineknot.Work, values map[string]jsontext.Value) sardineknot.Work {
	work.Kind = t.kind
	q := pointer.AppendToken("Values")
	for _, n := range slices.Sorted(maps.Keys(values)) {
		if t.parameters[n] == nil {
			file.Report(q.AppendToken(n), "an unknown parameter", "a parameter of the template at "+t.document.Position(""))
		}
	}
	for _, f := range t.fields {
		v := f.literal
		if f.parameter != "" {
			v = t.resolve(file, q, f, values)
		}
		if v != nil {
			f.set(&work, v)
		}
	}
	return work
}

// resolve returns the value of the parameter that the field f refers to. This
// is the value that an account assigns in values, which are located at pointer
// in file, or else the default of the parameter. resolve returns nil if the
// declaration of the parameter is invalid, or if the value is invalid or
// missing. It records a problem in the latter case.
func (t *template) resolve(file *hujson.Document, pointer jsontext.Pointer, f templateField, values map[string]jsontext.Value) value {
	r := t.parameters[f.parameter]
	if r.invalid {
		return nil
	}
	s := " (parameter at " + t.document.Position(r.path) + ")"
	b, ok := values[f.parameter]
	if !ok {
		if r.defaultValue == nil {
			file.Report(pointer.AppendToken(f.parameter), "missing", r.kind.expected()+s)
		}
		return r.defaultValue
	}
	v, ok := r.parse(file, pointer.AppendToken(f.parameter), b, s)
	if !ok {
		return nil
	}
	if !f.limits.contains(v) {
		file.ReportRaw(pointer.AppendToken(f.parameter), f.limits.String()+s)
		return nil
	}
	return v
}
