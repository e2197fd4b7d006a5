package pool

import (
	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/clairvoyant"
	"sardineknot.example/sardineknot/internal/policy/growth"
)

// inform gives f what only the world knows.
func (p *Pool) inform(f *clairvoyant.Scheduler) {
	f.Disconnects = func(k sardineknot.RequestKey) bool { return !p.tries[k].ask.leaves.IsZero() }
	f.Span = func(k sardineknot.RequestKey) growth.Span {
		t := p.tries[k]
		if t == nil {
			return growth.Span{}
		}
		if a := t.answer; a != nil {
			return growth.Span{InUse: float64(a.held + p.pattern.Block), Remaining: float64(a.left)}
		}
		return growth.Span{InUse: float64(t.ask.prompt + p.pattern.Block), Remaining: float64(t.ask.answer * p.pattern.EventTokens)}
	}
}
