package declarations_test

import (
	"fmt"
	"testing"
	"testing/fstest"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/bundle"
	"sardineknot.example/sardineknot/internal/operator/declarations"
)

// The numbers of client accounts and of generated backend servers in the
// largest deployment to be supported.
const (
	designAccounts = 3300
	designBackends = 3100
)

// largeDeclarations returns declarations of the largest supported size.
func largeDeclarations(t testing.TB) fstest.MapFS {
	t.Helper()
	m := clone(t)
	for n := range designAccounts {
		b := fmt.Sprintf(`{"Account": "account-%d", "RequestsPerSecond": 1, "Burst": 2,
  "Work": [{"Template": "trip-summary", "Values": {"MaxTokens": %d}}, {"Template": "mileage-posting"}, {"Template": "trip-lookup"}]}`, n, 100+n%900)
		m[fmt.Sprintf("accounts/account-%d.jsonc", n)] = &fstest.MapFile{Data: []byte(b)}
	}
	b := []byte(`{"BackendServers": [`)
	for n := range designBackends {
		b = fmt.Appendf(b, `{"Name": "runner-%d", "Address": "127.90.%d.%d:7100", "Zone": "selfoss-d", "Role": "Decode", "Model": "skyrsla-llm", "Version": "1", "Slots": 20, "State": "Joining"},`, n, n/250, n%250)
	}
	m["backends/runners.jsonc"] = &fstest.MapFile{Data: append(b, ']', '}')}
	return m
}

// TestDesignSize checks that declarations of the largest supported size compile
// into bundles that do not exceed the store's limit on values.
func TestDesignSize(t *testing.T) {
	i := is.New(t)
	c, err := declarations.Load(largeDeclarations(t), "design")
	i.NoErr(err)
	i.Equal(len(c.Contracts), designAccounts+3)
	i.Equal(len(c.BackendServers), designBackends+15)
	s, l, err := bundle.Split(c)
	i.NoErr(err)
	n, g := 0, 0
	for _, b := range s {
		n += len(b)
		g = max(g, len(b))
	}
	i.True(g <= sardineknot.MaxStoreValueBytes)
	t.Logf("%d bundles, %d bytes, the longest %d bytes", len(l), n, g)
}

func BenchmarkLoad(b *testing.B) {
	m := largeDeclarations(b)
	for b.Loop() {
		_, err := declarations.Load(m, "design")
		if err != nil {
			b.Fatal(err)
		}
	}
}
