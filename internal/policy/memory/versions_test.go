package memory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/memory"
)

// newMixedScheduler returns a scheduler with one prefill engine and two decode
// engines of each of the versions v1 and v2. Their names begin with the version.
func newMixedScheduler() *memory.Scheduler {
	s := memory.NewScheduler()
	l := []sardineknot.BackendServer{server("p", sardineknot.RolePrefill)}
	for i := range 2 {
		for _, v := range []string{"v1", "v2"} {
			b := server(fmt.Sprintf("%s-%d", v, i), sardineknot.RoleDecode)
			b.SoftwareVersion = sardineknot.SoftwareVersion(v)
			l = append(l, b)
		}
	}
	s.SetServers(start, l, nil)
	return s
}

// resumed returns a job that needs an engine of version.
func resumed(id string, at time.Time, version sardineknot.SoftwareVersion) sardineknot.Job {
	j := job(id, at, 5000, 4000)
	j.Resumed, j.SoftwareVersion = true, version
	return j
}

// TestSoftwareVersion guards against continuing an answer on an engine of another
// software version than the one that began it.
func TestSoftwareVersion(t *testing.T) {
	t.Run("engines of the version are granted", func(t *testing.T) {
		is := is.New(t)
		s := newMixedScheduler()
		for i := range 6 {
			id := fmt.Sprint("r", i)
			d := granted(s.Submit(start, resumed(id, start, "v2")), id).DecodeEngine
			is.True(d == "v2-0" || d == "v2-1")
			s.Report(start, event(id, sardineknot.JobPrefillDone, "p", 0))
		}
	})
	t.Run("a version without engines is refused at once", func(t *testing.T) {
		is := is.New(t)
		is.True(refused(newMixedScheduler().Submit(start, resumed("r", start, "v0")), "r"))
	})
	t.Run("a version whose engines have left is refused at once", func(t *testing.T) {
		is := is.New(t)
		s := newMixedScheduler()
		n := saturate(s, start)
		is.True(n > 0)
		is.True(!refused(s.Submit(start, resumed("r", start, "v1")), "r")) // waits for room
		l := []sardineknot.BackendServer{server("p", sardineknot.RolePrefill), server("d", sardineknot.RoleDecode)}
		is.True(refused(s.SetServers(start, l, nil), "r"))
	})
	t.Run("a full version does not hold up jobs for others", func(t *testing.T) {
		is := is.New(t)
		s := newMixedScheduler()
		waits := false
		for i := 0; !waits; i++ {
			id := fmt.Sprint("r", i)
			waits = granted(s.Submit(start, resumed(id, start, "v1")), id) == (sardineknot.Grant{})
			s.Report(start, event(id, sardineknot.JobPrefillDone, "p", 0))
		}
		d := granted(s.Submit(start, job("n", start, 5000, 4000)), "n").DecodeEngine
		is.True(d == "v2-0" || d == "v2-1")
	})
	t.Run("a limited job precedes one that any engine may run", func(t *testing.T) {
		is := is.New(t)
		s := newMixedScheduler()
		saturate(s, start)
		s.Submit(start, job("n", start, 5000, 4000))
		s.Submit(start, resumed("r", start, "v1"))
		l := s.Report(start, sardineknot.JobEvent{Key: sardineknot.RequestKey{ID: "fill0/0"}, Kind: sardineknot.JobFinished, Server: "v1-0", Tokens: 4000})
		is.Equal(granted(l, "r").DecodeEngine, sardineknot.BackendServerName("v1-0"))
	})
}
