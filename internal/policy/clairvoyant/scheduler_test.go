package clairvoyant_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/clairvoyant"
	"sardineknot.example/sardineknot/internal/policy/growth"
)

var start = time.Unix(1000, 0)

func newScheduler(spans map[string]growth.Span) *clairvoyant.Scheduler {
	s := &clairvoyant.Scheduler{
		Span:        func(k sardineknot.RequestKey) growth.Span { return spans[string(k.ID)] },
		Disconnects: func(k sardineknot.RequestKey) bool { return k.ID == "leaves" },
	}
	s.SetServers(start, []sardineknot.BackendServer{
		{Name: "p", Role: sardineknot.RolePrefill}, {Name: "d", Role: sardineknot.RoleDecode, Slots: 4, MemoryTokens: 100},
	}, nil)
	return s
}

func job(id string) sardineknot.Job {
	return sardineknot.Job{Key: sardineknot.RequestKey{ID: sardineknot.RequestID(id)}, FirstTokenDeadline: start.Add(time.Second)}
}

// actions returns the actions of decisions that concern job id.
func actions(decisions []sardineknot.Decision, id string) (found []sardineknot.Action) {
	for _, d := range decisions {
		if string(d.Key.ID) == id {
			found = append(found, d.Action)
		}
	}
	return found
}

func TestClairvoyantScheduler(t *testing.T) {
	begin := []sardineknot.Action{sardineknot.ActionDecode, sardineknot.ActionPrefill}
	spans := map[string]growth.Span{"a": {InUse: 40, Remaining: 20}, "b": {InUse: 30, Remaining: 10}, "c": {InUse: 30, Remaining: 10}}
	t.Run("admits jobs up to the peak memory of the answers", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(spans)
		is.Equal(actions(s.Submit(start, job("a")), "a"), begin)
		is.Equal(actions(s.Submit(start, job("b")), "b"), begin) // peak of 90 at the end of b
		is.Equal(len(s.Submit(start, job("c"))), 0)
		l := s.Report(start, sardineknot.JobEvent{Key: job("b").Key, Kind: sardineknot.JobFinished})
		is.Equal(actions(l, "c"), begin)
	})
	t.Run("refuses a job that has become late", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(spans)
		s.Submit(start, job("a"))
		s.Submit(start, job("b"))
		s.Submit(start, job("c"))
		is.Equal(actions(s.Wake(start.Add(time.Second)), "c"), []sardineknot.Action{sardineknot.ActionRefuse})
	})
	t.Run("starts no job for callers that will disconnect", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(spans)
		is.Equal(actions(s.Submit(start, job("leaves")), "leaves"), []sardineknot.Action{sardineknot.ActionRefuse})
	})
}
