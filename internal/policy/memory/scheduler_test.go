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
	// room is the memory of a test engine, in tokens.
	room = 80000
	// target is the latency target of the first event.
	target = 900 * time.Millisecond
)

var start = time.Unix(1000, 0)

// server returns an engine.
func server(name string, r sardineknot.BackendRole) sardineknot.BackendServer {
	return sardineknot.BackendServer{
		Name: sardineknot.BackendServerName(name), Role: r, Zone: "a", Slots: 24,
		MemoryTokens: room, EventTokens: 73, State: sardineknot.BackendJoining,
	}
}

// newScheduler returns a scheduler with one prefill engine and n decode engines.
func newScheduler(n int) *memory.Scheduler {
	s := memory.NewScheduler()
	l := []sardineknot.BackendServer{server("p", sardineknot.RolePrefill)}
	for i := range n {
		l = append(l, server(fmt.Sprintf("d%d", i), sardineknot.RoleDecode))
	}
	s.SetServers(start, l, nil)
	return s
}

func job(id string, at time.Time, prompt, expected int) sardineknot.Job {
	return sardineknot.Job{
		Key:          sardineknot.RequestKey{ID: sardineknot.RequestID(id + "/0")},
		PromptTokens: prompt, MaxTokens: 9000, ExpectedTokens: expected,
		Deadline: at.Add(target), Patience: at.Add(14 * time.Second),
	}
}

// granted returns the engines that l grants to the job id.
func granted(l []sardineknot.Decision, id string) (g sardineknot.Grant) {
	for _, d := range l {
		if string(d.Key.ID) != id+"/0" {
			continue
		}
		switch d.Action {
		case sardineknot.ActionPrefill:
			g.Prefill = d.Server
		case sardineknot.ActionDecode:
			g.Decode = d.Server
		}
	}
	return g
}

// refused reports whether l refuses the job id.
func refused(l []sardineknot.Decision, id string) bool {
	for _, d := range l {
		if string(d.Key.ID) == id+"/0" && d.Action == sardineknot.ActionRefuse {
			return d.RetryAfter > 0
		}
	}
	return false
}

func event(id string, k sardineknot.JobEventKind, n sardineknot.BackendServerName, tokens int) sardineknot.JobEvent {
	return sardineknot.JobEvent{Key: sardineknot.RequestKey{ID: sardineknot.RequestID(id + "/0")}, Kind: k, Server: n, Tokens: tokens}
}

// fillUp submits jobs until one is not granted, and returns their number.
func fillUp(s *memory.Scheduler, at time.Time) int {
	for n := 0; ; n++ {
		id := fmt.Sprintf("fill%d", n)
		if granted(s.Submit(at, job(id, at, 5000, 4000)), id) == (sardineknot.Grant{}) {
			return n
		}
		s.Report(at, event(id, sardineknot.JobPrefillDone, "p", 0))
	}
}

func TestRoom(t *testing.T) {
	t.Run("memory at the end of the answers bounds the jobs on an engine", func(t *testing.T) {
		is := is.New(t)
		n := fillUp(newScheduler(1), start)
		is.True(n >= 7)  // 9,000 tokens each at the end
		is.True(n <= 10) // and not what the prompts alone would allow
	})
	t.Run("a burst of long answers waits and is refused in time", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		fillUp(s, start)
		s.Submit(start, job("late", start, 5000, 4000))
		is.True(!s.NextWake().IsZero())
		is.True(refused(s.Wake(start.Add(target)), "late"))
	})
	t.Run("a caller whose answer broke off waits for longer", func(t *testing.T) {
		// After all hosts lost power, callers came back for the rest while the
		// engines still worked for nobody, and were refused for good.
		is := is.New(t)
		s := newScheduler(1)
		fillUp(s, start)
		j := job("rest", start, 5000, 4000)
		j.Resumed = true
		s.Submit(start, j)
		is.True(!refused(s.Wake(start.Add(target)), "rest"))
		is.Equal(granted(s.Wake(start.Add(2900*time.Millisecond)), "rest").Decode, sardineknot.BackendServerName("d0"))
	})
	t.Run("the end of an answer makes room", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		n := fillUp(s, start)
		l := s.Report(start, event("fill0", sardineknot.JobFinished, "d0", 4000))
		is.Equal(granted(l, fmt.Sprintf("fill%d", n)).Decode, sardineknot.BackendServerName("d0"))
	})
	t.Run("the emptier engine is taken", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(2)
		a := granted(s.Submit(start, job("a", start, 5000, 4000)), "a")
		s.Report(start, event("a", sardineknot.JobPrefillDone, "p", 0))
		b := granted(s.Submit(start, job("b", start, 5000, 4000)), "b")
		is.True(a.Decode != b.Decode)
	})
}

func TestReserve(t *testing.T) {
	t.Run("answers near their end need less reserve", func(t *testing.T) {
		// In bursts a fixed reserve kept a tenth of each engine free, also where
		// all answers were about to end.
		is := is.New(t)
		s := newScheduler(1)
		for i := range 7 {
			id := fmt.Sprintf("ending%d", i)
			j := job(id, start, 5000, 4000)
			j.MaxTokens = 4000
			is.Equal(granted(s.Submit(start, j), id).Decode, sardineknot.BackendServerName("d0"))
			s.Report(start, event(id, sardineknot.JobDecodeStarted, "d0", 0))
			s.Report(start, event(id, sardineknot.JobProgress, "d0", 3900))
		}
		j := job("next", start, 12000, 400)
		j.MaxTokens = 500
		is.Equal(granted(s.Submit(start, j), "next").Decode, sardineknot.BackendServerName("d0"))
	})
}

func TestForeign(t *testing.T) {
	t.Run("requests that another host placed take room", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		n := fillUp(newScheduler(1), start)
		r := sardineknot.LoadReport{Server: "d0", At: start}
		for i := range 4 {
			r.Runs = append(r.Runs, sardineknot.EngineRun{ID: sardineknot.RequestID(fmt.Sprint("other", i)), MemoryTokens: 6000, Events: 14})
		}
		s.Observe(start, r)
		m := fillUp(s, start)
		is.True(m <= n-3)
	})
	t.Run("a job that ended of late is not taken for another host's", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		n := fillUp(s, start)
		for i := range n {
			s.Report(start, event(fmt.Sprintf("fill%d", i), sardineknot.JobFinished, "d0", 4000))
		}
		s.Observe(start, sardineknot.LoadReport{Server: "d0", At: start, Runs: []sardineknot.EngineRun{{ID: "fill0", MemoryTokens: 60000}}})
		is.True(granted(s.Submit(start, job("next", start, 5000, 4000)), "next").Decode == "d0")
	})
}

func TestFailures(t *testing.T) {
	t.Run("a job whose holder fell silent frees its room", func(t *testing.T) {
		// A host that was cut off and owned a shard again kept the room of jobs
		// whose ends had been told to the owner in between.
		is := is.New(t)
		s := newScheduler(1)
		fillUp(s, start)
		n := start.Add(3 * time.Second)
		is.Equal(granted(s.Submit(n, job("next", n, 5000, 4000)), "next").Decode, sardineknot.BackendServerName("d0"))
	})
	t.Run("a prefill engine whose results are lost rests", func(t *testing.T) {
		is := is.New(t)
		s := memory.NewScheduler()
		s.SetServers(start, []sardineknot.BackendServer{
			server("p", sardineknot.RolePrefill), server("q", sardineknot.RolePrefill), server("d", sardineknot.RoleDecode),
		}, nil)
		s.Submit(start, job("old", start, 1000, 1000))
		s.Report(start, event("old", sardineknot.JobPrefillDone, "p", 0))
		s.Report(start, event("old", sardineknot.JobDecodeStarted, "d", 0))
		for i := range 2 {
			id := fmt.Sprintf("lost%d", i)
			s.Submit(start, job(id, start, 1000, 1000))
			s.Report(start, event(id, sardineknot.JobPrefillDone, "p", 0))
			s.Report(start, event(id, sardineknot.JobCacheLost, "p", 0))
			// The decode engine reads the prompt itself.
			s.Report(start, event(id, sardineknot.JobDecodeStarted, "d", 0))
			s.Report(start, event(id, sardineknot.JobFinished, "d", 1000))
			// An answer that began before says nothing of the present results.
			s.Report(start, event("old", sardineknot.JobProgress, "d", 500))
		}
		for i := range 3 {
			id := fmt.Sprintf("next%d", i)
			is.Equal(granted(s.Submit(start, job(id, start, 1000, 1000)), id).Prefill, sardineknot.BackendServerName("q"))
		}
	})
}

func TestLost(t *testing.T) {
	t.Run("an engine that loses some answers goes after others", func(t *testing.T) {
		// A third of the answers of most engines was lost, never two in a row.
		is := is.New(t)
		s := memory.NewScheduler()
		s.SetServers(start, []sardineknot.BackendServer{
			server("p", sardineknot.RolePrefill), server("q", sardineknot.RolePrefill), server("d", sardineknot.RoleDecode),
		}, nil)
		for i, k := range []sardineknot.JobEventKind{sardineknot.JobFailed, sardineknot.JobDecodeStarted, sardineknot.JobFailed, sardineknot.JobDecodeStarted} {
			id := fmt.Sprint("lost", i)
			j := job(id, start, 1000, 1000)
			j.Kept = "p"
			is.Equal(granted(s.Submit(start, j), id).Prefill, j.Kept)
			s.Report(start, event(id, k, "p", 0))
			s.Report(start, event(id, sardineknot.JobFinished, "d", 1000))
		}
		is.Equal(granted(s.Submit(start, job("next", start, 1000, 1000)), "next").Prefill, sardineknot.BackendServerName("q"))
	})
}

func TestUnreachable(t *testing.T) {
	// Engines that were gone stayed in the list of servers while the store was
	// away. Each was tried twice, as the emptiest, and each try cost a prefill.
	is := is.New(t)
	s := newScheduler(2)
	g := granted(s.Submit(start, job("first", start, 2000, 1000)), "first")
	s.Report(start, event("first", sardineknot.JobPrefillDone, "p", 0))
	v := event("first", sardineknot.JobFailed, g.Decode, 0)
	v.Unreachable = true
	s.Report(start, v)
	for i := range 3 {
		id := fmt.Sprint("next", i)
		n := granted(s.Submit(start, job(id, start, 2000, 1000)), id)
		is.True(n.Decode != g.Decode)
		is.Equal(n.Prefill, sardineknot.BackendServerName("p"))
	}
	t.Run("the engine itself reads the prompt that tells whether it is back", func(t *testing.T) {
		is := is.New(t)
		n := start.Add(600 * time.Millisecond)
		is.Equal(granted(s.Submit(n, job("probe", n, 2000, 1000)), "probe"), sardineknot.Grant{Prefill: g.Decode, Decode: g.Decode})
	})
}

func TestKept(t *testing.T) {
	is := is.New(t)
	s := memory.NewScheduler()
	s.SetServers(start, []sardineknot.BackendServer{
		server("p", sardineknot.RolePrefill), server("q", sardineknot.RolePrefill), server("d", sardineknot.RoleDecode),
	}, nil)
	for i, k := range []sardineknot.BackendServerName{"p", "q", "q", "p"} {
		j := job(fmt.Sprint("again", i), start, 2000, 1000)
		j.Kept = k
		is.Equal(granted(s.Submit(start, j), fmt.Sprint("again", i)).Prefill, k)
	}
}

func TestSelfRead(t *testing.T) {
	t.Run("without prefill engines only short prompts are read by decode engines", func(t *testing.T) {
		is := is.New(t)
		s := memory.NewScheduler()
		s.SetServers(start, []sardineknot.BackendServer{server("d", sardineknot.RoleDecode)}, nil)
		g := granted(s.Submit(start, job("short", start, 2000, 1000)), "short")
		is.Equal(g, sardineknot.Grant{Prefill: "d", Decode: "d"})
		g = granted(s.Submit(start, job("long", start, sardineknot.MaxSelfRead+1, 1000)), "long")
		is.Equal(g, sardineknot.Grant{})
	})
	t.Run("a decode engine helps out when the prefill engines are busy", func(t *testing.T) {
		// While servers were replaced, two prefill engines were left for a burst,
		// and callers were refused beside decode engines with room.
		is := is.New(t)
		s := newScheduler(1)
		for i := range 4 {
			s.Submit(start, job(fmt.Sprintf("ahead%d", i), start, sardineknot.MaxSelfRead+1, 1000))
		}
		g := granted(s.Submit(start, job("short", start, 2000, 1000)), "short")
		is.Equal(g, sardineknot.Grant{Prefill: "d0", Decode: "d0"})
	})
	t.Run("a server that started again is a new engine", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		fillUp(s, start)
		d := server("d0", sardineknot.RoleDecode)
		d.Born = 7
		s.SetServers(start, []sardineknot.BackendServer{server("p", sardineknot.RolePrefill), d}, nil)
		is.Equal(granted(s.Submit(start, job("next", start, 5000, 4000)), "next").Decode, sardineknot.BackendServerName("d0"))
	})
}

func TestLengths(t *testing.T) {
	t.Run("estimates of callers are drawn to the mean", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(1)
		for i := range 60 {
			// Answers are of 2,000 tokens whatever the callers say.
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
		is.True(n >= 20) // 3,000 tokens each, where the estimates say 9,000
	})
}
