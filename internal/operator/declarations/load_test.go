package declarations_test

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/operator/declarations"
)

const examples = "../../../examples/"

func TestExamples(t *testing.T) {
	for _, c := range []struct {
		deployment, unrepeatable       string
		accounts, backends, work       int
		model, service                 string
		engines, plain, links, zoneSet int
	}{
		{"akstursbok", "mileage-posting", 3, 15, 4, "skyrsla-llm", "dagbok-app", 11, 4, 10, 4},
		{"kessler", "permit-filing", 3, 16, 3, "leitor-laudos", "balcao-licencas", 12, 4, 10, 4},
	} {
		t.Run(c.deployment, func(t *testing.T) {
			i := is.New(t)
			n := load(t, os.DirFS(examples+c.deployment+"/declarations"))
			i.Equal(len(n.Contracts), c.accounts)
			i.Equal(len(n.BackendServers), c.backends)
			i.Equal(len(n.Links), c.links)
			p := n.AcceptingServers(sardineknot.EnginePoolName(c.model, "1"))
			i.Equal(len(p), c.engines)
			i.Equal(len(n.AcceptingServers(sardineknot.PoolName("service/"+c.service))), c.plain)
			w := make(map[sardineknot.WorkName]bool)
			for _, k := range n.Contracts {
				for _, v := range k.Work {
					w[v.Name] = true
					i.Equal(v.Unrepeatable, string(v.Name) == c.unrepeatable)
				}
			}
			i.Equal(len(w), c.work)
		})
	}
}

// TestCompile checks every field of a compiled contract against the example
// declarations.
func TestCompile(t *testing.T) {
	i := is.New(t)
	c := load(t, os.DirFS(examples+"akstursbok/declarations"))
	k, err := c.Contract("rafvirkjar")
	i.NoErr(err)
	i.Equal(fmt.Sprint(k), "{rafvirkjar 20 40 ["+
		"{mileage-posting Service   dagbok-app true 2s 0s 0 0 0.999} "+
		"{trip-lookup Service   dagbok-app false 500ms 0s 0 0 0.99} "+
		"{trip-summary Generation skyrsla-llm 1  false 1s 34ms 0 300 0.95}]}")
}

// The files that test cases modify.
const (
	summaryFile    = "templates/trip-summary.jsonc"
	postingFile    = "templates/mileage-posting.jsonc"
	accountFile    = "accounts/rafvirkjar.jsonc"
	enginesFile    = "backends/skyrsla-llm.jsonc"
	plainFile      = "backends/dagbok-app.jsonc"
	deploymentFile = "deployment.jsonc"
)

// invalidCases lists changes that make the example declarations invalid. Each
// replaces the text old in one file. expected is the beginning of a reported
// problem, in which a letter stands for the path of the file that has the
// problem: a for accountFile, s for summaryFile, p for postingFile, e for
// enginesFile and d for deploymentFile.
var invalidCases = []struct{ name, file, old, replacement, expected string }{
	{"syntax", accountFile, `"Work": [`, `"Work" [`, `a:5:10: the file is malformed: invalid character '[' after object name`},
	{"unknown field", accountFile, `"Burst"`, `"Bust"`, `a:4:28: Bust is an unknown field`},
	{"duplicate field", accountFile, `"Burst": 40`, `"Burst": 40, "Burst": 41`, `a:4:41: Burst is declared twice`},
	{"unknown template", accountFile, `"trip-lookup"`, `"trip-search"`, `a:8:18: Work[2].Template is "trip-search", expected the name of a template`},
	{"duplicate work", accountFile, `"trip-lookup"`, `"mileage-posting"`, `a:8:5: Work[2] is a duplicate of the work mileage-posting`},
	{"no work", accountFile, `"Work"`, `"Werk"`, `a:5:3: Werk is an unknown field`},
	{"duplicate account", accountFile, `"rafvirkjar"`, `"pipulagnir"`, `a:2:14: Account is "pipulagnir", expected a name other than that at akstursbok/accounts/pipulagnir.jsonc:2:14`},
	{"account name", accountFile, `"rafvirkjar"`, `"a/b"`, `a:2:14: Account is "a/b", expected a name of 1 to 64 letters`},
	{"burst", accountFile, `"Burst": 40`, `"Burst": 0`, `a:4:37: Burst is "0", expected at least 1 with RequestsPerSecond`},
	{"unknown parameter", accountFile, `"MaxTokens"`, `"Tokens"`, `a:6:75: Work[0].Values.Tokens is an unknown parameter`},
	{"out of range", accountFile, `"1s"`, `"40s"`, `a:6:59: Work[0].Values.FirstToken is "40s", expected 500ms to 30s (parameter at akstursbok/templates/trip-summary.jsonc:6:5)`},
	{"invalid unit", accountFile, `"1s"`, `"1 second"`, `a:6:59: Work[0].Values.FirstToken is "1 second", expected a duration with a unit`},
	{"wrong type", accountFile, `"1s"`, `1000`, `a:6:59: Work[0].Values.FirstToken is 1000, expected a duration with a unit`},
	{"integer", accountFile, `300`, `300.5`, `a:6:78: Work[0].Values.MaxTokens is 300.5, expected an integer`},
	{"version without engines", accountFile, `"FirstToken": "1s"`, `"Version": "2"`, `a:6:5: Work[0] is work for model "skyrsla-llm" version "2", which no backend server serves, expected an engine with the role Prefill in the state Joining`},
	{"parameter type", summaryFile, `"Share"`, `"Percent"`, `s:9:35: Parameters[4].Type is "Percent", expected "Duration", "Integer"`},
	{"bounds of a name", summaryFile, `"Default": "1"`, `"Minimum": "1"`, `s:5:52: Parameters[0].Minimum is set, expected no bounds for the type Name`},
	{"default out of range", summaryFile, `"Default": 400`, `"Default": 4`, `s:8:57: Parameters[3].Default is 4, expected 16 to 4000`},
	{"empty range", summaryFile, `"Minimum": 16`, `"Minimum": 5000`, `s:8:73: Parameters[3].Minimum is 5000, expected at most the Maximum 4000`},
	{"unused parameter", summaryFile, `"MaxTokens": {"Parameter": "MaxTokens"}`, `"MaxTokens": 300`, `s:8:14: Parameters[3].Name is "MaxTokens", expected a parameter that a field of Work uses`},
	{"duplicate parameter", summaryFile, `{"Name": "PerToken"`, `{"Name": "FirstToken"`, `s:7:14: Parameters[2].Name is "FirstToken", expected each parameter once`},
	{"undeclared parameter", summaryFile, `{"Parameter": "PerToken"}`, `{"Parameter": "Pace"}`, `s:16:17: Work.PerToken is {"Parameter": "Pace"}, expected a value, or`},
	{"parameter of the wrong type", summaryFile, `{"Parameter": "PerToken"}`, `{"Parameter": "MaxTokens"}`, `s:16:17: Work.PerToken is {"Parameter": "MaxTokens"}, expected a parameter of the type Duration`},
	{"literal", summaryFile, `"Priority": 0`, `"Priority": 5000`, `s:20:17: Work.Priority is 5000, expected -1000 to 1000`},
	{"missing field", summaryFile, `"Model": "skyrsla-llm",`, ``, `s:11:11: Work.Model is missing`},
	{"field of another kind of work", summaryFile, `"Kind": "Generation",`, `"Kind": "Generation", "Unrepeatable": true,`, `s:12:43: Work.Unrepeatable is set, expected no such field for the kind Generation`},
	{"kind", summaryFile, `"Generation"`, `"Chat"`, `s:12:13: Work.Kind is "Chat", expected "Generation" or "Service"`},
	{"duplicate template", summaryFile, `"Name": "trip-summary"`, `"Name": "tax-note"`, `s:3:11: Name is "tax-note", expected a name other than`},
	{"share", postingFile, `"Default": 0.999`, `"Default": 1`, `p:6:55: Parameters[1].Default is 1, expected a number above 0 and below 1`},
	{"service without a backend server", postingFile, `"dagbok-app"`, `"dagbok"`, `a:7:5: Work[1] is work for service "dagbok", which no backend server offers`},
	{"model without decode engines", enginesFile, `"Decode"`, `"Prefill"`, `a:6:5: Work[0] is work for model "skyrsla-llm" version "1", which no backend server serves, expected an engine with the role Decode`},
	{"model without prefill engines", enginesFile, `"Prefill"`, `"Decode"`, `a:6:5: Work[0] is work for model "skyrsla-llm" version "1", which no backend server serves, expected an engine with the role Prefill`},
	{"all servers leaving", plainFile, `"Joining"`, `"Leaving"`, `a:7:5: Work[1] is work for service "dagbok-app", which no backend server offers`},
	{"duplicate backend server", enginesFile, `"skyrsla-llm-2"`, `"skyrsla-llm-1"`, `e:6:14: BackendServers[1].Name is "skyrsla-llm-1", expected a name other than that at akstursbok/backends/skyrsla-llm.jsonc:5:14`},
	{"duplicate address", enginesFile, `127.81.1.2:7100`, `127.81.1.1:7100`, `e:6:42: BackendServers[1].Address is "127.81.1.1:7100", expected an address other than`},
	{"address", enginesFile, `127.81.1.2:7100`, `runner-2:7100`, `e:6:42: BackendServers[1].Address is "runner-2:7100", expected an IP address`},
	{"zone", enginesFile, `"Zone": "akureyri-b"`, `"Zone": "akureyri"`, `e:6:69: BackendServers[1].Zone is "akureyri", expected one of Zones`},
	{"role", enginesFile, `"Prefill"`, `"Encode"`, `e:5:92: BackendServers[0].Role is "Encode", expected "Prefill", "Decode" or "Plain"`},
	{"slots", enginesFile, `"Slots": 20`, `"Slots": 0`, `e:9:151: BackendServers[4].Slots is "0", expected 1 to 100000`},
	{"state", enginesFile, `"Joining"`, `"Gone"`, `e:5:187: BackendServers[0].State is "Gone", expected "Joining" or "Leaving"`},
	{"link to an unknown zone", deploymentFile, `"To": "akureyri-b"`, `"To": "keflavik"`, `d:9:35: Links[1].To is "keflavik", expected one of Zones`},
	{"duplicate link", deploymentFile, `"From": "akureyri-b", "To": "akureyri-b"`, `"From": "akureyri-b", "To": "reykjavik-a"`, `d:12:5: Links[4] is a second link between akureyri-b and reykjavik-a`},
	{"link delay", deploymentFile, `"500us"`, `"-1s"`, `d:9:58: Links[1].Delay is "-1s", expected 0s to 10s`},
	{"oversized", deploymentFile, `// `, `// ` + strings.Repeat("x", 1<<20), `d: the file is more than 1 MiB long`},
}

func TestInvalidDeclarations(t *testing.T) {
	for _, c := range invalidCases {
		t.Run(c.name, func(t *testing.T) {
			f := clone(t)
			b := string(f[c.file].Data)
			is.New(t).True(strings.Contains(b, c.old))
			f[c.file] = &fstest.MapFile{Data: []byte(strings.ReplaceAll(b, c.old, c.replacement))}
			x := strings.SplitN(c.expected, ":", 2)
			n := map[string]string{"a": accountFile, "s": summaryFile, "p": postingFile, "e": enginesFile, "d": deploymentFile}[x[0]]
			checkProblem(t, f, "akstursbok/"+n+":"+x[1])
			checkFiles(t, f, c.file, n)
		})
	}
}

// TestTemplateChange checks that a change of a template is checked against the
// values of all accounts that use it, and that the problems of all files are
// reported at once.
func TestTemplateChange(t *testing.T) {
	f := clone(t)
	b := string(f["templates/trip-summary.jsonc"].Data)
	b = strings.Replace(b, `"Default": 400, "Minimum": 16`, `"Default": 500, "Minimum": 400`, 1)
	b = strings.Replace(b, `"Default": "1.4s", `, ``, 1)
	f["templates/trip-summary.jsonc"].Data = []byte(b)
	l := problems(t, f)
	is.New(t).Equal(len(l), 3)
	checkContains(t, l, "akstursbok/accounts/bokhald.jsonc:6:5: Work[0].Values.FirstToken is missing")
	checkContains(t, l, "akstursbok/accounts/pipulagnir.jsonc:6:5: Work[0].Values.FirstToken is missing")
	checkContains(t, l, "akstursbok/accounts/rafvirkjar.jsonc:6:78: Work[0].Values.MaxTokens is 300, expected 400 to 4000")
}

// TestOtherFiles checks that unexpected files and missing directories are
// rejected, and that hidden files are ignored.
func TestOtherFiles(t *testing.T) {
	f := clone(t)
	f["accounts/x.jsonc~"] = &fstest.MapFile{Data: []byte("{}")}
	checkProblem(t, f, "akstursbok/accounts/x.jsonc~: the file is not a declaration file")
	delete(f, "accounts/x.jsonc~")
	f["accounts/.hidden"] = &fstest.MapFile{}
	load(t, f)
	checkProblem(t, fstest.MapFS{}, "akstursbok/accounts: the file is not readable")
}

// FuzzLoad replaces the content of one file. Load must return either a
// configuration or an InvalidFilesError with at least one problem.
func FuzzLoad(f *testing.F) {
	m := clone(f)
	l := []string{"accounts/bokhald.jsonc", "templates/trip-summary.jsonc", "backends/dagbok-app.jsonc", "deployment.jsonc"}
	for n, p := range l {
		f.Add(n, m[p].Data)
	}
	f.Fuzz(func(t *testing.T, n int, b []byte) {
		c := maps.Clone(m)
		c[l[uint(n)%uint(len(l))]] = &fstest.MapFile{Data: b}
		r, err := declarations.Load(c, "akstursbok")
		var v *sardineknot.InvalidFilesError
		is.New(t).True(err == nil && len(r.Contracts) > 0 || errors.As(err, &v) && len(v.Problems) > 0)
	})
}

// clone returns a copy in memory of the declarations of the example akstursbok.
func clone(t testing.TB) fstest.MapFS {
	t.Helper()
	m := make(fstest.MapFS)
	f := os.DirFS(examples + "akstursbok/declarations")
	err := fs.WalkDir(f, ".", func(p string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		b, err := fs.ReadFile(f, p)
		m[p] = &fstest.MapFile{Data: b}
		return err
	})
	is.New(t).NoErr(err)
	return m
}

func load(t *testing.T, f fs.FS) *sardineknot.Configuration {
	t.Helper()
	c, err := declarations.Load(f, "akstursbok")
	is.New(t).NoErr(err)
	return c
}

// problems returns the problems that Load reports for the invalid declarations
// f.
func problems(t *testing.T, f fs.FS) []string {
	t.Helper()
	_, err := declarations.Load(f, "akstursbok")
	var v *sardineknot.InvalidFilesError
	is.New(t).True(errors.As(err, &v))
	return strings.Split(v.Error(), "\n")
}

// checkProblem checks that the declarations f are rejected with a problem that
// begins with expected.
func checkProblem(t *testing.T, f fs.FS, expected string) {
	t.Helper()
	checkContains(t, problems(t, f), expected)
}

// checkFiles checks that an invalid file causes no spurious problems in other
// files. Every problem must be in one of files, or report a missing backend
// server or template.
func checkFiles(t *testing.T, f fs.FS, files ...string) {
	t.Helper()
	for _, p := range problems(t, f) {
		n, _, _ := strings.Cut(strings.TrimPrefix(p, "akstursbok/"), ":")
		if !slices.Contains(files, n) && !strings.Contains(p, "which no backend server") && !strings.Contains(p, "expected the name of a template") {
			t.Errorf("unexpected problem %q", p)
		}
	}
}

// checkContains checks that one of the problems l begins with expected.
func checkContains(t *testing.T, l []string, expected string) {
	t.Helper()
	for _, p := range l {
		if strings.HasPrefix(p, expected) {
			return
		}
	}
	t.Errorf("no problem %q in:\n%s", expected, strings.Join(l, "\n"))
}
