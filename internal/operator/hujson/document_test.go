package hujson_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/operator/hujson"
)

func TestDepth(t *testing.T) {
	deep := strings.Repeat("[", 1<<16)
	for _, c := range []struct {
		name, text, expected string
	}{
		{"comments", "// \" [\n/* " + deep + " */ {} // " + deep, ""},
		{"strings", `{"A": "` + deep + `\"` + deep + `"}`, ""},
		{"too deep", deep, "f:1:33: the file is nested deeper than 32 levels, expected at most 32 levels"},
		{"after a quote in a comment", "// \"\n" + deep, "f:2:33: the file is nested deeper than 32 levels, expected at most 32 levels"},
		{"after a closed comment", "/* \" */" + deep, "f:1:40: the file is nested deeper than 32 levels, expected at most 32 levels"},
		{"in an unterminated comment", "/* " + deep, "f:1:1: the file is malformed: parsing comment: unexpected EOF, expected JSON with comments"},
		{"after a single slash", "/" + deep, "f:1:34: the file is nested deeper than 32 levels, expected at most 32 levels"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := hujson.Parse("f", []byte(c.text))
			is.New(t).Equal(problems(d), c.expected)
		})
	}
}

// TestDecodeReportsAll checks that invalid list elements are all reported, under
// their own indexes, and that the valid ones are decoded.
func TestDecodeReportsAll(t *testing.T) {
	var v struct {
		Names []string
		Pairs []struct{ A, B int }
	}
	d := hujson.Parse("f", []byte(`{
  "Names": ["a", 12345, true, {"a": 1}, "b"],
  "Pairs": [{"A": "x", "B": 1}, {"C": 2}, {"A": 1, "A": 2}], // three
}`))
	is.New(t).True(!d.Decode(&v))
	is.New(t).Equal(problems(d), strings.Join([]string{
		"f:2:18: Names[1] is 12345, expected a string",
		"f:2:25: Names[2] is true, expected a string",
		`f:2:31: Names[3] is {"a": 1}, expected a string`,
		`f:3:19: Pairs[0].A is "x", expected an integer`,
		"f:3:34: Pairs[1].C is an unknown field, expected a field of this format",
		"f:3:52: Pairs[2].A is declared twice, expected one value",
	}, "\n"))
	is.New(t).Equal(v.Names[4], "b")
}

func problems(d *hujson.Document) string {
	var l []string
	for _, p := range d.Problems() {
		l = append(l, p.Error())
	}
	return strings.Join(l, "\n")
}
