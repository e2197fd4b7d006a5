package memory_test

import (
	"fmt"
	"time"

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

// job returns a job that arrives at time at, with a prompt of that many tokens
// and an answer whose caller expects that many. granted, refused and event name
// it by the same id.
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

// event returns the event of job id on the named server.
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
