package memory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/memory"
)

const (
	// engineMemory is the memory of a test engine, in tokens.
	engineMemory = 80000
	// target is the latency target of the first event.
	target = 900 * time.Millisecond
)

var start = time.Unix(1000, 0)

// server returns a test engine with the given role.
func server(name string, role sardineknot.BackendRole) sardineknot.BackendServer {
	return sardineknot.BackendServer{
		Name: sardineknot.BackendServerName(name), Role: role, Zone: "a", Slots: 24,
		MemoryTokens: engineMemory, EventTokens: 73, State: sardineknot.BackendJoining,
	}
}

// newScheduler returns a scheduler with one prefill engine and the given number
// of decode engines.
func newScheduler(decodes int) *memory.Scheduler {
	s := memory.NewScheduler()
	l := []sardineknot.BackendServer{server("p", sardineknot.RolePrefill)}
	for i := range decodes {
		l = append(l, server(fmt.Sprintf("d%d", i), sardineknot.RoleDecode))
	}
	s.SetServers(start, l, nil)
	return s
}

// newTwoPrefills returns a scheduler with the prefill engines p and q and the
// decode engine d.
func newTwoPrefills() *memory.Scheduler {
	s := memory.NewScheduler()
	s.SetServers(start, []sardineknot.BackendServer{
		server("p", sardineknot.RolePrefill), server("q", sardineknot.RolePrefill), server("d", sardineknot.RoleDecode),
	}, nil)
	return s
}

func job(id string, at time.Time, prompt, expected int) sardineknot.Job {
	return sardineknot.Job{
		Key:          sardineknot.RequestKey{ID: sardineknot.RequestID(id + "/0")},
		PromptTokens: prompt, MaxTokens: 9000, ExpectedTokens: expected,
		FirstTokenDeadline: at.Add(target), CallerDeadline: at.Add(14 * time.Second),
	}
}

// granted returns the engines that decisions grant to job id.
func granted(decisions []sardineknot.Decision, id string) (grant sardineknot.Grant) {
	for _, d := range decisions {
		if string(d.Key.ID) != id+"/0" {
			continue
		}
		switch d.Action {
		case sardineknot.ActionPrefill:
			grant.PrefillEngine = d.Server
		case sardineknot.ActionDecode:
			grant.DecodeEngine = d.Server
		}
	}
	return grant
}

// refused reports whether decisions refuse job id with a retry time.
func refused(decisions []sardineknot.Decision, id string) bool {
	for _, d := range decisions {
		if string(d.Key.ID) == id+"/0" && d.Action == sardineknot.ActionRefuse {
			return d.RetryAfter > 0
		}
	}
	return false
}

func event(id string, kind sardineknot.JobEventKind, server sardineknot.BackendServerName, tokens int) sardineknot.JobEvent {
	return sardineknot.JobEvent{Key: sardineknot.RequestKey{ID: sardineknot.RequestID(id + "/0")}, Kind: kind, Server: server, Tokens: tokens}
}

// saturate submits jobs at time at until one is not granted engines, and
// returns the number of granted jobs.
func saturate(s *memory.Scheduler, at time.Time) int {
	for n := 0; ; n++ {
		id := fmt.Sprintf("fill%d", n)
		if granted(s.Submit(at, job(id, at, 5000, 4000)), id) == (sardineknot.Grant{}) {
			return n
		}
		s.Report(at, event(id, sardineknot.JobPrefillDone, "p", 0))
	}
}

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

func TestForeign(t *testing.T) {
	t.Run("requests placed by another host occupy memory", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		n := saturate(newScheduler(1), start)
		r := sardineknot.LoadReport{Server: "d0", MeasuredAt: start}
		for i := range 4 {
			r.RunningRequests = append(r.RunningRequests, sardineknot.RunningRequest{ID: sardineknot.RequestID(fmt.Sprint("other", i)), MemoryTokens: 6000, Events: 14})
		}
		s.ObserveLoad(start, r)
		m := saturate(s, start)
		is.True(m <= n-3)
	})
	t.Run("a job that ended recently is not counted as foreign", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		n := saturate(s, start)
		for i := range n {
			s.Report(start, event(fmt.Sprintf("fill%d", i), sardineknot.JobFinished, "d0", 4000))
		}
		s.ObserveLoad(start, sardineknot.LoadReport{Server: "d0", MeasuredAt: start, RunningRequests: []sardineknot.RunningRequest{{ID: "fill0", MemoryTokens: 60000}}})
		is.True(granted(s.Submit(start, job("next", start, 5000, 4000)), "next").DecodeEngine == "d0")
	})
}

func TestFailures(t *testing.T) {
	t.Run("a job without recent events frees its memory", func(t *testing.T) {
		// A host that was partitioned and then owned the shard again kept
		// memory reserved for jobs whose ends had been reported to the interim
		// owner.
		is := is.New(t)
		s := newScheduler(1)
		saturate(s, start)
		n := start.Add(3 * time.Second)
		is.Equal(granted(s.Submit(n, job("next", n, 5000, 4000)), "next").DecodeEngine, sardineknot.BackendServerName("d0"))
	})
	t.Run("a prefill engine whose results are lost is tripped", func(t *testing.T) {
		is := is.New(t)
		s := newTwoPrefills()
		s.Submit(start, job("old", start, 1000, 1000))
		s.Report(start, event("old", sardineknot.JobPrefillDone, "p", 0))
		s.Report(start, event("old", sardineknot.JobDecodeStarted, "d", 0))
		for i := range 2 {
			id := fmt.Sprintf("lost%d", i)
			s.Submit(start, job(id, start, 1000, 1000))
			s.Report(start, event(id, sardineknot.JobPrefillDone, "p", 0))
			s.Report(start, event(id, sardineknot.JobCacheLost, "p", 0))
			// The decode engine prefills the prompt itself.
			s.Report(start, event(id, sardineknot.JobDecodeStarted, "d", 0))
			s.Report(start, event(id, sardineknot.JobFinished, "d", 1000))
			// Progress of an older answer says nothing about current results.
			s.Report(start, event("old", sardineknot.JobProgress, "d", 500))
		}
		for i := range 3 {
			id := fmt.Sprintf("next%d", i)
			is.Equal(granted(s.Submit(start, job(id, start, 1000, 1000)), id).PrefillEngine, sardineknot.BackendServerName("q"))
		}
	})
}

func TestLossRate(t *testing.T) {
	t.Run("a prefill engine that loses some results is used after others", func(t *testing.T) {
		// Most engines lost a third of the answers but never two in a row, so
		// the limit of consecutive failures was not reached.
		is := is.New(t)
		s := newTwoPrefills()
		for i, k := range []sardineknot.JobEventKind{sardineknot.JobFailed, sardineknot.JobDecodeStarted, sardineknot.JobFailed, sardineknot.JobDecodeStarted} {
			id := fmt.Sprint("lost", i)
			j := job(id, start, 1000, 1000)
			j.CachedOn = "p"
			is.Equal(granted(s.Submit(start, j), id).PrefillEngine, j.CachedOn)
			s.Report(start, event(id, k, "p", 0))
			s.Report(start, event(id, sardineknot.JobFinished, "d", 1000))
		}
		is.Equal(granted(s.Submit(start, job("next", start, 1000, 1000)), "next").PrefillEngine, sardineknot.BackendServerName("q"))
	})
}

func TestUnreachable(t *testing.T) {
	// Failed engines stayed in the list of servers while the store was
	// unavailable. Being empty, each was chosen twice, and each attempt wasted
	// a prefill.
	is := is.New(t)
	s := newScheduler(2)
	g := granted(s.Submit(start, job("first", start, 2000, 1000)), "first")
	s.Report(start, event("first", sardineknot.JobPrefillDone, "p", 0))
	v := event("first", sardineknot.JobFailed, g.DecodeEngine, 0)
	v.Unreachable = true
	s.Report(start, v)
	for i := range 3 {
		id := fmt.Sprint("next", i)
		n := granted(s.Submit(start, job(id, start, 2000, 1000)), id)
		is.True(n.DecodeEngine != g.DecodeEngine)
		is.Equal(n.PrefillEngine, sardineknot.BackendServerName("p"))
	}
	t.Run("a tripped engine prefills the prompt of its probe itself", func(t *testing.T) {
		is := is.New(t)
		n := start.Add(600 * time.Millisecond)
		is.Equal(granted(s.Submit(n, job("probe", n, 2000, 1000)), "probe"), sardineknot.Grant{PrefillEngine: g.DecodeEngine, DecodeEngine: g.DecodeEngine})
	})
}

func TestCachedPrompt(t *testing.T) {
	is := is.New(t)
	s := newTwoPrefills()
	for i, k := range []sardineknot.BackendServerName{"p", "q", "q", "p"} {
		j := job(fmt.Sprint("again", i), start, 2000, 1000)
		j.CachedOn = k
		is.Equal(granted(s.Submit(start, j), fmt.Sprint("again", i)).PrefillEngine, k)
	}
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

func TestLengths(t *testing.T) {
	t.Run("forecasts are pulled from callers' estimates toward the mean", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		for i := range 60 {
			// Answers have 2,000 tokens whatever the callers estimate.
			id := fmt.Sprintf("seen%d", i)
			s.Submit(start, job(id, start, 1000, 1000+100*i))
			s.Report(start, event(id, sardineknot.JobPrefillDone, "p", 0))
			s.Report(start, event(id, sardineknot.JobFinished, "d0", 2000))
		}
		var n int
		for ; n < 40; n++ {
			id := fmt.Sprintf("fill%d", n)
			if granted(s.Submit(start, job(id, start, 1000, 8000)), id) == (sardineknot.Grant{}) {
				break
			}
			s.Report(start, event(id, sardineknot.JobPrefillDone, "p", 0))
		}
		is.True(n >= 20) // about 3,000 tokens each instead of the estimated 9,000
	})
}
