package memory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// barred returns a job whose host may not use the engines n until the given time.
func barred(id string, until time.Time, n ...sardineknot.BackendServerName) sardineknot.Job {
	j := job(id, start, 2000, 1000)
	for _, s := range n {
		j.Backoffs = append(j.Backoffs, sardineknot.ServerBackoff{Server: s, Until: until})
	}
	return j
}

// TestBackoff guards against a grant of an engine that has asked the host of the
// job for no requests.
func TestBackoff(t *testing.T) {
	end := start.Add(300 * time.Millisecond)
	t.Run("the job gets another decode engine", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(2)
		is.Equal(granted(s.Submit(start, barred("a", end, "d0")), "a").DecodeEngine, sardineknot.BackendServerName("d1"))
		is.Equal(granted(s.Submit(start, job("b", start, 2000, 1000)), "b").DecodeEngine, sardineknot.BackendServerName("d0")) // of another host
	})
	t.Run("the job waits for the end", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		is.Equal(granted(s.Submit(start, barred("a", end, "d0")), "a"), sardineknot.Grant{})
		is.Equal(granted(s.Wake(end.Add(-time.Millisecond)), "a"), sardineknot.Grant{})
		is.Equal(granted(s.Wake(end), "a").DecodeEngine, sardineknot.BackendServerName("d0"))
	})
	t.Run("a job that waits does not hold up larger ones of other hosts", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		s.Submit(start, barred("a", end, "d0"))
		is.Equal(granted(s.Submit(start, job("b", start, 4000, 3000)), "b").DecodeEngine, sardineknot.BackendServerName("d0"))
	})
	t.Run("without a prefill engine the decode engine prefills a short prompt", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		is.Equal(granted(s.Submit(start, barred("a", end, "p")), "a"), sardineknot.Grant{PrefillEngine: "d0", DecodeEngine: "d0"})
	})
}
