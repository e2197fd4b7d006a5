package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/operator/settings"
)

const valid = `{
  // A comment.
  "ID": "entry-1", "Region": "is-land", "Zone": "selfoss-d",
  "Zones": ["reykjavik-a", "selfoss-d"],
  "CallerAddress": "127.0.0.1:7400",
  "PeerAddress": "127.0.0.1:7500",
  "AdminAddress": "127.0.0.1:7600",
  "Store": "127.0.0.2:7000", "HostList": "127.0.0.2:7000",
  "Heartbeat": "200ms",
}
`

// TestParse checks the problem that Parse reports after one text in the valid
// settings has been replaced.
func TestParse(t *testing.T) {
	_, err := settings.Parse([]byte(valid))
	is.New(t).NoErr(err)
	for _, c := range []struct{ name, old, replacement, expected string }{
		{"syntax", `"Zone":`, `"Zone"`, `settings:3:48: the file is malformed: invalid character`},
		{"unknown field", `"Heartbeat"`, `"Heartbeet"`, `settings:9:3: Heartbeet is an unknown field`},
		{"duplicate field", `"Zone": "selfoss-d"`, `"ID": "b", "Zone": "selfoss-d"`, `settings:3:41: ID is declared twice`},
		{"invalid unit", `200ms`, `200 ticks`, `settings:9:16: Heartbeat is "200 ticks", expected a duration with a unit`},
		{"number for a duration", `"200ms"`, `200`, `settings:9:16: Heartbeat is 200, expected a duration with a unit`},
		{"negative duration", `200ms`, `-1s`, `settings:9:16: Heartbeat is "-1s", expected 0s to 1h`},
		{"address", `127.0.0.1:7500`, `localhost:7500`, `settings:6:18: PeerAddress is "localhost:7500", expected an IP address`},
		{"unspecified address", `127.0.0.1:7500`, `0.0.0.0:7500`, `settings:6:18: PeerAddress is "0.0.0.0:7500", expected an IP address`},
		{"zone", `"Zone": "selfoss-d"`, `"Zone": "selfoss-e"`, `settings:3:49: Zone is "selfoss-e", expected one of Zones`},
		{"duplicate zone", `"reykjavik-a", `, `"selfoss-d", `, `settings:4:26: Zones[1] is "selfoss-d", expected each zone once`},
		{"addresses coincide", `127.0.0.1:7600`, `127.0.0.1:7400`, `settings:7:19: AdminAddress is "127.0.0.1:7400", expected an address other than CallerAddress`},
		{"store coincides", `"Store": "127.0.0.2:7000"`, `"Store": "127.0.0.1:7400"`, `settings:8:12: Store is "127.0.0.1:7400", expected an address other than CallerAddress`},
		{"missing field", `, "HostList": "127.0.0.2:7000"`, ``, `settings:1:1: HostList is missing`},
		{"name", `"entry-1"`, `"entry 1"`, `settings:3:9: ID is "entry 1", expected a name`},
		{"log level", `"Heartbeat": "200ms"`, `"LogLevel": "loud"`, `settings:9:15: LogLevel is "loud", expected "debug"`},
		{"wrong type", `["reykjavik-a", "selfoss-d"]`, `7`, `settings:4:12: Zones is 7, expected a list`},
		{"too long", `// A`, `// ` + strings.Repeat("a", 1<<20), `settings: the file is more than 1 MiB long`},
		{"too deep", `"selfoss-d"]`, strings.Repeat("[", 100), `settings:4:58: the file is nested deeper than 32 levels`},
	} {
		t.Run(c.name, func(t *testing.T) {
			checkProblems(t, strings.Replace(valid, c.old, c.replacement, 1), c.expected)
		})
	}
}

// TestParseReportsAll checks that all problems of a file are reported at once.
func TestParseReportsAll(t *testing.T) {
	b := strings.NewReplacer("200ms", "x", "127.0.0.1:7400", "y", `"Region"`, `"Area"`).Replace(valid)
	checkProblems(t, b, "settings:3:20: Area is an unknown field", "settings:5:20: CallerAddress", "settings:9:16: Heartbeat")
}

func TestExamples(t *testing.T) {
	for d, n := range map[string]int{"akstursbok": 8, "kessler": 8} {
		l, err := filepath.Glob("../../../examples/" + d + "/entry-*.jsonc")
		is.New(t).NoErr(err)
		is.New(t).Equal(len(l), n)
		seen := make(map[any]string)
		for _, p := range l {
			s, err := settings.Load(p)
			is.New(t).NoErr(err)
			is.New(t).Equal(string(s.ID)+".jsonc", filepath.Base(p))
			for _, a := range []any{s.CallerAddress, s.PeerAddress, s.AdminAddress} {
				is.New(t).Equal(seen[a], "") // addresses of a deployment differ
				seen[a] = p
			}
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"Zones": [null, 1, {"a": "b"}], "ID": 7, "ID": "x", // c`))
	l, _ := filepath.Glob("../../../examples/*/entry-1.jsonc")
	for _, p := range l {
		b, _ := os.ReadFile(p)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := settings.Parse(b)
		var v *sardineknot.InvalidFilesError
		is.New(t).True(err == nil || errors.As(err, &v) && len(v.Problems) > 0)
		is.New(t).True(err != nil || s.ID != "")
	})
}

// checkProblems checks that Parse rejects the settings b with exactly the
// expected problems, in this order. Each expected text is the beginning of a
// problem.
func checkProblems(t *testing.T, b string, expected ...string) {
	t.Helper()
	_, err := settings.Parse([]byte(b))
	var v *sardineknot.InvalidFilesError
	if !errors.As(err, &v) {
		t.Fatalf("got %v, expected an InvalidFilesError", err)
	}
	for i, p := range v.Problems {
		if i >= len(expected) || !strings.HasPrefix(p.Error(), expected[i]) {
			t.Errorf("unexpected problem: %v", p)
		}
	}
	is.New(t).Equal(len(v.Problems), len(expected))
}
