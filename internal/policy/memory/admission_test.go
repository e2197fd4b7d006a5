package memory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

func TestAdmission(t *testing.T) {
	t.Run("admission is bounded by the memory at the end of the answers", func(t *testing.T) {
		is := is.New(t)
		n := saturate(newScheduler(1), start)
		is.True(n >= 7)  // 9,000 tokens each at their end
		is.True(n <= 10) // fewer than the prompts alone would allow
	})
	t.Run("a job that does not fit waits and is refused at its latest start", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		saturate(s, start)
		s.Submit(start, job("late", start, 5000, 4000))
		is.True(!s.NextWake().IsZero())
		is.True(refused(s.Wake(start.Add(target)), "late"))
	})
	t.Run("the end of an answer frees memory for a waiting job", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		n := saturate(s, start)
		l := s.Report(start, event("fill0", sardineknot.JobFinished, "d0", 4000))
		is.Equal(granted(l, fmt.Sprintf("fill%d", n)).DecodeEngine, sardineknot.BackendServerName("d0"))
	})
	t.Run("jobs go to the engine with the lowest utilization", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(2)
		a := granted(s.Submit(start, job("a", start, 5000, 4000)), "a")
		s.Report(start, event("a", sardineknot.JobPrefillDone, "p", 0))
		b := granted(s.Submit(start, job("b", start, 5000, 4000)), "b")
		is.True(a.DecodeEngine != b.DecodeEngine)
	})
}

// TestResumedJobs guards against streams that callers resume in vain, behind new requests.
func TestResumedJobs(t *testing.T) {
	t.Run("a resumed job waits beyond its deadline", func(t *testing.T) {
		// After a power loss of all hosts, callers resumed their answers while
		// the engines still ran orphaned requests, and were refused
		// permanently.
		is := is.New(t)
		s := newScheduler(1)
		saturate(s, start)
		j := job("rest", start, 5000, 4000)
		j.Resumed = true
		s.Submit(start, j)
		is.True(!refused(s.Wake(start.Add(target)), "rest"))
		is.Equal(granted(s.Wake(start.Add(2900*time.Millisecond)), "rest").DecodeEngine, sardineknot.BackendServerName("d0"))
	})
	t.Run("a resumed job starts before jobs that arrive after it", func(t *testing.T) {
		// In a burst after a power loss of all hosts, new jobs took all memory
		// that became free, until the resumed ones were refused.
		is := is.New(t)
		s := newScheduler(1)
		saturate(s, start)
		now := start.Add(target)
		s.Wake(now) // refuses the job that did not fit
		j := job("rest", now, 5000, 4000)
		j.Resumed = true
		s.Submit(now, j)
		now = now.Add(100 * time.Millisecond)
		s.Submit(now, job("new", now, 5000, 4000))
		l := s.Report(now, event("fill0", sardineknot.JobFinished, "d0", 4000))
		is.Equal(granted(l, "rest").DecodeEngine, sardineknot.BackendServerName("d0"))
		is.Equal(granted(l, "new"), sardineknot.Grant{})
	})
}

func TestReserve(t *testing.T) {
	t.Run("answers near their end need little reserve", func(t *testing.T) {
		// A fixed reserve kept a tenth of each engine's memory free during
		// bursts, even when all its answers were about to end.
		is := is.New(t)
		s := newScheduler(1)
		for i := range 7 {
			id := fmt.Sprintf("ending%d", i)
			j := job(id, start, 5000, 4000)
			j.MaxTokens = 4000
			is.Equal(granted(s.Submit(start, j), id).DecodeEngine, sardineknot.BackendServerName("d0"))
			s.Report(start, event(id, sardineknot.JobDecodeStarted, "d0", 0))
			s.Report(start, event(id, sardineknot.JobProgress, "d0", 3900))
		}
		j := job("next", start, 12000, 400)
		j.MaxTokens = 500
		is.Equal(granted(s.Submit(start, j), "next").DecodeEngine, sardineknot.BackendServerName("d0"))
	})
}
