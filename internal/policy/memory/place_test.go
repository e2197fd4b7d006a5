package memory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/memory"
)

func TestCachedPrompt(t *testing.T) {
	is := is.New(t)
	s := newTwoPrefills()
	for i, k := range []sardineknot.BackendServerName{"p", "q", "q", "p"} {
		j := job(fmt.Sprint("again", i), start, 2000, 1000)
		j.CachedOn = k
		is.Equal(granted(s.Submit(start, j), fmt.Sprint("again", i)).PrefillEngine, k)
	}
}

// streamAt has d0 generate one answer at the given rate for ten seconds, with a target
// for pauses of 300 ms, while p gets prompts that it does not end. It returns the end
// of that time.
func streamAt(s *memory.Scheduler, rate int) time.Time {
	j := job("stream", start, 1000, 9000)
	j.MaxTokens, j.PerToken = 30000, 300*time.Millisecond
	s.Submit(start, j)
	s.Report(start, event("stream", sardineknot.JobPrefillDone, "p", 0))
	at := start
	for i := range 40 {
		at = at.Add(250 * time.Millisecond)
		s.Report(at, event("stream", sardineknot.JobProgress, "d0", rate*(i+1)/4))
	}
	for i := range 12 {
		n := fmt.Sprint("ahead", i)
		s.Submit(at, job(n, at, 11000, 500))
	}
	return at
}

func TestLocalPrefill(t *testing.T) {
	t.Run("without prefill engines, decode engines prefill only short prompts", func(t *testing.T) {
		is := is.New(t)
		s := memory.NewScheduler()
		s.SetServers(start, []sardineknot.BackendServer{server("d", sardineknot.RoleDecode)}, nil)
		g := granted(s.Submit(start, job("short", start, 2000, 1000)), "short")
		is.Equal(g, sardineknot.Grant{PrefillEngine: "d", DecodeEngine: "d"})
		g = granted(s.Submit(start, job("long", start, sardineknot.MaxLocalPrefillTokens+1, 1000)), "long")
		is.Equal(g, sardineknot.Grant{})
	})
	t.Run("a decode engine prefills the prompt if prefill engines are backlogged", func(t *testing.T) {
		// During a replacement of servers, a burst met only two prefill
		// engines, and callers were refused although decode engines had memory
		// available.
		is := is.New(t)
		s := newScheduler(1)
		for i := range 4 {
			s.Submit(start, job(fmt.Sprintf("ahead%d", i), start, sardineknot.MaxLocalPrefillTokens+1, 1000))
		}
		g := granted(s.Submit(start, job("short", start, 2000, 1000)), "short")
		is.Equal(g, sardineknot.Grant{PrefillEngine: "d0", DecodeEngine: "d0"})
	})
	t.Run("a restarted server has no jobs", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		saturate(s, start)
		d := server("d0", sardineknot.RoleDecode)
		d.Born = 7
		s.SetServers(start, []sardineknot.BackendServer{server("p", sardineknot.RolePrefill), d}, nil)
		is.Equal(granted(s.Submit(start, job("next", start, 5000, 4000)), "next").DecodeEngine, sardineknot.BackendServerName("d0"))
	})
}

// TestPausesOfLocalPrefill guards against pauses above the target of the other answers
// on a decode engine that reads a prompt.
func TestPausesOfLocalPrefill(t *testing.T) {
	// An answer pauses for the time of the reading and until its next event is
	// complete. A slow engine read 5,000 tokens when the target was 300 ms.
	for _, c := range []struct {
		rate, prompt int
		firstEvent   time.Duration
		want         sardineknot.Grant
	}{
		{usualRate, 5000, 600 * time.Millisecond, sardineknot.Grant{PrefillEngine: "d0", DecodeEngine: "d0"}},
		{usualRate / 4, 5000, 600 * time.Millisecond, sardineknot.Grant{}},
		{usualRate / 4, 1000, 600 * time.Millisecond, sardineknot.Grant{PrefillEngine: "d0", DecodeEngine: "d0"}},
		{usualRate, 5200, 600 * time.Millisecond, sardineknot.Grant{PrefillEngine: "d0", DecodeEngine: "d0"}},
		// The prefill engine is in time.
		{usualRate, 5200, 2 * time.Second, sardineknot.Grant{}},
		{usualRate, 8000, 600 * time.Millisecond, sardineknot.Grant{}},
	} {
		s := newScheduler(1)
		at := streamAt(s, c.rate)
		j := job("next", at, c.prompt, 1000)
		j.PerToken, j.FirstTokenDeadline = 300*time.Millisecond, at.Add(c.firstEvent)
		is.New(t).Equal(granted(s.Submit(at, j), "next"), c.want)
	}
}
