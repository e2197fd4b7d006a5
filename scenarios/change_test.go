package scenarios

import (
	"os"
	"regexp"

	"github.com/rogpeppe/go-internal/testscript"
)

// change REGEXP REPLACEMENT edits the configuration that deploy has applied and
// applies it again. It fails if nothing matches.
func change(t *testscript.TestScript, _ bool, a []string) {
	r := regexp.MustCompile(a[0])
	s := t.ReadFile("configuration.json")
	if !r.MatchString(s) {
		t.Fatalf("nothing matches %q", a[0])
	}
	s = r.ReplaceAllString(s, a[1])
	t.Check(os.WriteFile(t.MkAbs("configuration.json"), []byte(s), 0o644))
	t.Check(t.Exec("sardineknot", "apply", "-store", t.Getenv("STORE"), "-configuration", "configuration.json"))
}
