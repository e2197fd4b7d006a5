package history_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/versions/history"
)

// servers returns servers of service "llm" with the given versions.
func servers(versions ...sardineknot.SoftwareVersion) []sardineknot.BackendServer {
	var l []sardineknot.BackendServer
	for _, v := range versions {
		l = append(l, sardineknot.BackendServer{Service: "llm", SoftwareVersion: v})
	}
	return l
}

func TestSeen(t *testing.T) {
	n := time.Unix(1000, 0)
	h := &history.History{}
	seen := func(t *testing.T, since time.Time, expected ...sardineknot.SoftwareVersion) {
		t.Helper()
		is.New(t).Equal(h.Seen("llm", since), expected)
	}
	h.Observe(n, servers("v1", "v1"))
	t.Run("a single version", func(t *testing.T) {
		seen(t, n.Add(time.Hour), "v1")
	})
	h.Observe(n.Add(10*time.Second), servers("v2", "v1"))
	t.Run("two versions side by side", func(t *testing.T) {
		seen(t, n.Add(time.Hour), "v1", "v2")
	})
	h.Observe(n.Add(20*time.Second), servers("v2"))
	t.Run("a version that has just gone", func(t *testing.T) {
		// It was there until the observation without it.
		seen(t, n.Add(20*time.Second), "v1", "v2")
	})
	t.Run("a version that has gone before", func(t *testing.T) {
		seen(t, n.Add(21*time.Second), "v2")
	})
	t.Run("another service", func(t *testing.T) {
		is.New(t).Equal(len(h.Seen("other", n)), 0)
	})
}
