package check_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/command/check"
	"sardineknot.example/sardineknot/platform"
)

// run executes the command on a file with the content s.
func run(t *testing.T, s string) subcommands.ExitStatus {
	t.Helper()
	is := is.New(t)
	p := filepath.Join(t.TempDir(), "settings.jsonc")
	is.NoErr(os.WriteFile(p, []byte(s), 0o600))
	c := &check.Command{Fill: platform.FillTemplate}
	f := flag.NewFlagSet("check", flag.ContinueOnError)
	c.SetFlags(f)
	is.NoErr(f.Parse([]string{p}))
	return c.Execute(t.Context(), f)
}

func TestTemplate(t *testing.T) {
	b, err := os.ReadFile("../../../deploy/settings.jsonc")
	is.New(t).NoErr(err)
	s := string(b)
	t.Run("the template in deploy is valid", func(t *testing.T) {
		is.New(t).Equal(run(t, s), subcommands.ExitSuccess)
	})
	for _, c := range []struct{ name, old, new string }{
		{"an unknown placeholder", "{{zone|json}}", "{{zones|json}}"},
		{"an invalid address", "{{ip}}:9464", "{{ip}}:metrics"},
		{"an unknown unit", "{{bounds.graceS}}s", "{{bounds.graceS}}seconds"},
		{"a missing address", `"ReadyAddress": {{listen.ready|json}},`, ""},
		{"an unknown field", `"RetryRatio"`, `"RetryRation"`},
	} {
		t.Run(c.name+" is a problem", func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(s, c.old))
			is.Equal(run(t, strings.Replace(s, c.old, c.new, 1)), subcommands.ExitFailure)
		})
	}
}
