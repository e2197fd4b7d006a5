package rewrite_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/platform/rewrite"
)

// TestOnlyCounted guards against a change of a server that is taken for a sign of life:
// calls would go on to a server that is leaving, or to an old address.
func TestOnlyCounted(t *testing.T) {
	for _, c := range []struct {
		name, previous, next string
		want                 bool
	}{
		{"the counter", `{"slots":4,"sequence":19,"x":1}`, `{"slots":4,"sequence":20,"x":1}`, true},
		{"the counter gets longer", `{"sequence":99}`, `{"sequence":100}`, true},
		{"the counter ends alike", `{"sequence": 109}`, `{"sequence": 209}`, true},
		{"nothing", `{"sequence":1}`, `{"sequence":1}`, true},
		{"another number", `{"sequence":1,"slots":4}`, `{"sequence":1,"slots":5}`, false},
		{"both", `{"sequence":1,"slots":4}`, `{"sequence":2,"slots":5}`, false},
		{"a string", `{"sequence":1,"state":"ready"}`, `{"sequence":2,"state":"draining"}`, false},
		{"a field whose name ends alike", `{"subsequence":1}`, `{"subsequence":2}`, false},
		{"text that looks alike", `{"a":"\"sequence\":1"}`, `{"a":"\"sequence\":2"}`, false},
		{"cut off", `{"sequence":12}`, `{"sequence":12`, false},
		{"no number", `{"sequence":1}`, `{"sequence":}`, false},
		{"a leading zero", `{"sequence":1}`, `{"sequence":01}`, false},
		{"a negative number", `{"sequence":-1}`, `{"sequence":1}`, false},
		{"a fraction", `{"sequence":1}`, `{"sequence":1.5}`, false},
		{"too large", `{"sequence":1}`, `{"sequence":99999999999999999999}`, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(rewrite.OnlyCounted([]byte(c.previous), []byte(c.next), "sequence"), c.want)
		})
	}
}

// FuzzOnlyCounted checks that values that differ in nothing but the counter
// decode to the same.
func FuzzOnlyCounted(f *testing.F) {
	f.Add(`{"a":1,"sequence":19}`, `{"a":1,"sequence":20}`)
	f.Add(`{"a":"\\","sequence":1}`, `{"a":"\\","sequence":2}`)
	type entry struct {
		A        json.RawMessage
		B        string
		Sequence *int64
	}
	f.Fuzz(func(t *testing.T, previous, next string) {
		var p, n entry
		if json.Unmarshal([]byte(previous), &p) != nil || p.Sequence == nil || !rewrite.OnlyCounted([]byte(previous), []byte(next), "sequence") {
			return
		}
		is := is.New(t)
		is.NoErr(json.Unmarshal([]byte(next), &n))
		is.Equal(p.B, n.B)
		is.True(n.Sequence != nil)
	})
}
