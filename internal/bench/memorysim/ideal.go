package memorysim

import (
	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/clairvoyant"
	"sardineknot.example/sardineknot/internal/policy/growth"
)

// informScheduler gives scheduler access to the future disconnections of
// callers and the exact lengths of answers. Other schedulers cannot know these.
func (s *Simulation) informScheduler(scheduler *clairvoyant.Scheduler) {
	scheduler.Disconnects = func(k sardineknot.RequestKey) bool { return !s.attempts[k].request.disconnectAt.IsZero() }
	scheduler.Span = func(k sardineknot.RequestKey) growth.Span {
		a := s.attempts[k]
		if a == nil {
			return growth.Span{}
		}
		if x := a.answer; x != nil {
			return growth.Span{InUse: float64(x.memoryTokens + s.pattern.Block), Remaining: float64(x.remaining)}
		}
		return growth.Span{InUse: float64(a.request.prompt + s.pattern.Block), Remaining: float64(a.request.answer * s.pattern.EventTokens)}
	}
}
