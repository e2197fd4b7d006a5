package scenarios

import (
	"os"
	"path/filepath"
	"regexp"

	"github.com/rogpeppe/go-internal/testscript"
)

// change REGEXP REPLACEMENT replaces text in the declarations that deploy wrote
// and applies them.
func change(t *testscript.TestScript, _ bool, a []string) {
	r := regexp.MustCompile(a[0])
	l, err := filepath.Glob(t.MkAbs("declarations/*/*.jsonc"))
	t.Check(err)
	n := 0
	for _, f := range l {
		s := t.ReadFile(f)
		if r.MatchString(s) {
			n++
			t.Check(os.WriteFile(f, []byte(r.ReplaceAllString(s, a[1])), 0o644))
		}
	}
	if n == 0 {
		t.Fatalf("nothing matches %q", a[0])
	}
	t.Check(t.Exec("sardineknot", "apply", "-store", t.Getenv("STORE"), "-declarations", "declarations"))
}
