package scenarios

import (
	"encoding/json"
	"os"
	"slices"

	"github.com/rogpeppe/go-internal/testscript"
)

// listed is one entry of the host list that deploy writes.
type listed struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// unlist NAME... takes entry hosts off the platform's host list.
func unlist(t *testscript.TestScript, _ bool, a []string) {
	var l []listed
	t.Check(json.Unmarshal([]byte(t.ReadFile("hosts.json")), &l))
	l = slices.DeleteFunc(l, func(e listed) bool { return slices.Contains(a, e.Labels["name"]) })
	b, err := json.Marshal(l)
	t.Check(err)
	t.Check(os.WriteFile(t.MkAbs("hosts.json"), b, 0o644))
	post(t, false, []string{t.Getenv("STORE") + "/hosts", "hosts.json"})
}
