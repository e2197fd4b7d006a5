package scenarios

import (
	"os"
	"path/filepath"
	"regexp"

	"github.com/rogpeppe/go-internal/testscript"
)

// change REGEXP REPLACEMENT replaces the matches of REGEXP in the declarations
// that the command deploy wrote, and applies the result with sardineknot apply.
// It fails if nothing matches.
func change(t *testscript.TestScript, _ bool, args []string) {
	r := regexp.MustCompile(args[0])
	l, err := filepath.Glob(t.MkAbs("declarations/*/*.jsonc"))
	t.Check(err)
	var n int
	for _, f := range l {
		b, err := os.ReadFile(f)
		t.Check(err)
		n += len(r.FindAll(b, -1))
		t.Check(os.WriteFile(f, r.ReplaceAll(b, []byte(args[1])), 0o644))
	}
	if n == 0 {
		t.Fatalf("nothing matches %q", args[0])
	}
	t.Check(t.Exec("sardineknot", "apply", "-store", t.Getenv("STORE"), "-declarations", "declarations", "-author", "change"))
}
