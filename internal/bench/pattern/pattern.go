// Package pattern holds patterns of load and faults for engines whose memory is
// scarcer than their slots. Every constant of a model stands in constants.go.
package pattern

import (
	"math"
	"math/rand/v2"
	"time"

	"sardineknot.example/sardineknot"
)

// The faults of a pattern.
const (
	// FaultCrash ends engines with all that runs on them.
	FaultCrash = "crash"
	// FaultLapse makes engines lose the results of prefills at once.
	FaultLapse = "lapse"
	// FaultSlowLinks makes the transfers of engines slower.
	FaultSlowLinks = "slow links"
	// FaultOwner ends the scheduler. Another one begins without its state.
	FaultOwner = "owner lost"
)

// Pattern is a model of engines, callers and faults over a time.
type Pattern struct {
	// Name selects the pattern.
	Name string
	// Zones lists the availability zones.
	Zones []sardineknot.AvailabilityZone
	// Duration is the time in which callers first ask.
	Duration time.Duration
	// Faults lists what fails.
	Faults []fault
	engines
	callers
}

// fault is something that fails for a time.
type fault struct {
	Kind string
	// From is the time since the start, and For how long it lasts.
	From time.Duration
	For  time.Duration
	// Share is the part of the engines that is hit.
	Share float64
	// Factor multiplies the time of transfers.
	Factor float64
}

// engines describes the engines. All are equal but for their stage.
type engines struct {
	PrefillEngines int
	DecodeEngines  int
	// Slots is the number of answers that an engine works on, Queue the number
	// of requests that may wait for one, and Memory is in tokens.
	Slots  int
	Queue  int
	Memory int
	// Block is the unit in which memory is taken, in tokens.
	Block int
	// Step is the time to generate a token for each of the answers of an
	// engine, without what StepPerRequest and StepPerThousand add for each
	// answer and each thousand tokens in memory.
	Step            time.Duration
	StepPerRequest  time.Duration
	StepPerThousand time.Duration
	// ReadPerToken is the time of a prefill engine for a token of a prompt, and
	// First what the first token of an answer takes beside.
	ReadPerToken time.Duration
	First        time.Duration
	// SelfChunk is the number of tokens of a prompt that a decode engine reads
	// between two tokens of its answers, and SelfFactor how much slower it
	// reads than a prefill engine.
	SelfChunk  int
	SelfFactor int
	// EventTokens is the number of tokens in an event.
	EventTokens int
	// Life is the time for which the result of a prefill is kept.
	Life time.Duration
	// Transfer is the time to move a token of a KV cache within a zone. It
	// takes AcrossZones times as long between zones. TransferSetup comes first.
	Transfer      time.Duration
	TransferSetup time.Duration
	AcrossZones   int
	// MaxTransferWait is the longest wait of a transfer for others.
	MaxTransferWait time.Duration
	// Hop is the time of a message between processes.
	Hop time.Duration
	// ProgressEvery is the time between two reports of the progress of a
	// stream, and ReportEvery and ReportLag are those of engines' load reports.
	ProgressEvery time.Duration
	ReportEvery   time.Duration
	ReportLag     time.Duration
	// Detection is the time after which a crashed engine is known to be gone.
	Detection time.Duration
}

// callers describes who asks for what.
type callers struct {
	Kinds []kind
	// Swing is the part by which the rate swings within a Period.
	Swing  float64
	Period time.Duration
	// Bursts lists times of more callers.
	Bursts []burst
	// Target is the latency target of the first event, and Pause that between
	// events. Patience is the time after which callers give up.
	Target   time.Duration
	Pause    time.Duration
	Patience time.Duration
	// LateWorth is what a late answer is worth of one in time.
	LateWorth float64
	// Returns bounds how often a refused caller comes back.
	Returns int
	// LeaveShare is the part of the callers that leave before their answer
	// ends, LeaveAfter at most after their first ask.
	LeaveShare float64
	LeaveAfter time.Duration
}

// kind is a kind of work. Lengths follow log-normal distributions.
type kind struct {
	Name sardineknot.WorkName
	// Rate is the number of asks a second.
	Rate float64
	// PromptMean, PromptSpread and PromptMax give the prompt in tokens, beside
	// Shared tokens that others share.
	PromptMean   float64
	PromptSpread float64
	PromptMax    int
	Shared       int
	// EventsMean, EventsSpread and EventsMax give the answer in events.
	EventsMean   float64
	EventsSpread float64
	EventsMax    int
	// HintSpread is the deviation of the logarithm of callers' estimates.
	HintSpread float64
	// Attempts is the number of times that an answer may begin.
	Attempts int
}

// burst multiplies the rate of a kind, or of all if Kind is empty.
type burst struct {
	Kind   sardineknot.WorkName
	From   time.Duration
	For    time.Duration
	Factor float64
}

// Rate returns the asks a second of kind k at t after the start. phase turns
// the swing.
func (p Pattern) Rate(k int, t time.Duration, phase float64) float64 {
	r := p.Kinds[k].Rate
	r *= 1 + p.Swing*math.Sin(2*math.Pi*(t.Seconds()/p.Period.Seconds()+phase))
	for _, b := range p.Bursts {
		if (b.Kind == "" || b.Kind == p.Kinds[k].Name) && t >= b.From && t < b.From+b.For {
			r *= b.Factor
		}
	}
	return r
}

// MaxRate returns a bound of Rate.
func (p Pattern) MaxRate(k int) float64 {
	r := p.Kinds[k].Rate * (1 + p.Swing)
	for _, b := range p.Bursts {
		r *= max(1, b.Factor)
	}
	return r
}

// Prompt draws the length of a prompt in tokens.
func (k kind) Prompt(r *rand.Rand) int {
	return k.Shared + min(k.PromptMax, logNormal(r, k.PromptMean, k.PromptSpread))
}

// Events draws the length of an answer in events.
func (k kind) Events(r *rand.Rand) int {
	return min(k.EventsMax, logNormal(r, k.EventsMean, k.EventsSpread))
}

// Hint draws a caller's estimate of an answer of n tokens.
func (k kind) Hint(r *rand.Rand, n int) int {
	return max(1, int(float64(n)*math.Exp(k.HintSpread*r.NormFloat64())))
}

// logNormal draws from the distribution with that mean and that deviation of
// the logarithm.
func logNormal(r *rand.Rand, mean, spread float64) int {
	return max(1, int(mean*math.Exp(spread*r.NormFloat64()-spread*spread/2)))
}
