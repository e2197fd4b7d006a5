package store_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sardineknot.example/sardineknot"
)

// TestPatched guards against a list of servers that depends on the order of changes:
// hosts would route and split pools differently.
func TestPatched(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		a, values := newTestSource(), map[string]string{"a": "s"}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			k := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			v := rapid.SampledFrom([]string{"s", "unknown", "bad", ""}).Draw(t, "value")
			values[k] = v
			if v == "" {
				a.Apply(sardineknot.StoreEntry{Key: k})
			} else {
				a.Apply(sardineknot.StoreEntry{Key: k, Value: []byte(v), Revision: sardineknot.StoreRevision{Number: 1}})
			}
			if rapid.Bool().Draw(t, "commit") {
				a.Commit()
			}
		}
		a.Commit()
		b := newTestSource()
		b.remove("a")
		for k, v := range values {
			if v != "" {
				b.put(k, v)
			}
		}
		b.put("rev", "22") // computes the list anew
		is.Equal(a.Current().BackendServers, b.Current().BackendServers)
	})
}
