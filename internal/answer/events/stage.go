package events

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// stage is what an attempt waits for.
type stage string

// The stages of an attempt, in their order.
const (
	// stageGrant waits for engines.
	stageGrant stage = "grant"
	// stagePrefill waits for the prefill engine.
	stagePrefill stage = "prefill"
	// stageHeader waits for the response header of the decode engine.
	stageHeader stage = "header"
	// stageEvents relays the events of the decode engine.
	stageEvents stage = "events"
)

// logCut logs what the attempt was waiting for if its call has ended because the connection of
// its caller has.
func (a *attempt) logCut() {
	if !errors.Is(a.session.ctx.Err(), context.Canceled) {
		return
	}
	a.Log.Info().Stringer("event", sardineknot.LogStreamCut).Str("request", string(a.call.ID)).Str("stage", string(a.stage)).
		Str("prefill", string(a.prefill.Name)).Str("decode", string(a.decode.Name)).Int("relayed", a.relayedEvents).Int("last", a.resumeAfter).
		Int("expected", a.job.ExpectedTokens).Int("longest", a.job.MaxTokens).Dur("sent_ms", a.sinceSent()).Send()
}

// sinceSent returns the time since the last request of the attempt to an engine, or zero if there
// was none.
func (a *attempt) sinceSent() time.Duration {
	if a.sentAt.IsZero() {
		return 0
	}
	return a.Clock.Now().Sub(a.sentAt)
}
