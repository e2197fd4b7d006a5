// Package pattern defines patterns of load and faults for simulations of engines
// whose memory is scarcer than their slots. The constants of all patterns are in
// constants.go.
package pattern

import (
	"math"
	"math/rand/v2"
	"time"

	"sardineknot.example/sardineknot"
)

// The kinds of faults.
const (
	// FaultCrash crashes engines. All requests on them are lost.
	FaultCrash = "crash"
	// FaultCacheLoss makes prefill engines lose the KV cache of each prefill as
	// soon as it is complete.
	FaultCacheLoss = "lapse"
	// FaultSlowLinks slows down the KV cache transfers from and to engines.
	FaultSlowLinks = "slow links"
	// FaultSlowEngines makes engines prefill and generate more slowly.
	FaultSlowEngines = "slow engines"
	// FaultSchedulerLoss stops the scheduler. After the fault, a new scheduler
	// starts without the state of the previous one.
	FaultSchedulerLoss = "owner lost"
)

// Pattern is a model of engines, callers and faults.
type Pattern struct {
	// Name selects the pattern.
	Name string
	// Zones lists the availability zones.
	Zones []sardineknot.AvailabilityZone
	// Duration is the time during which new requests arrive.
	Duration time.Duration
	// Faults lists the faults to inject.
	Faults []fault
	engines
	callers
}

// fault is a fault that begins and ends during a run.
type fault struct {
	Kind string
	// From is the time at which the fault begins, since the start of the run.
	From time.Duration
	// Length is the duration of the fault.
	Length time.Duration
	// Share is the fraction of the engines of each role that the fault affects.
	Share float64
	// Factor multiplies the duration of transfers for FaultSlowLinks, and that of
	// prefills and steps for FaultSlowEngines.
	Factor float64
}

// engines describes the engines. All engines of a pattern have the same
// parameters, except for their speeds.
type engines struct {
	// Speeds are the speeds of the engines, in turn. Empty means 1 for all.
	Speeds []float64
	// NoiseShare is the share of the time in which the work of an engine takes
	// NoiseFactor times as long, for NoiseLength at a time.
	NoiseShare  float64
	NoiseFactor float64
	NoiseLength time.Duration
	// RoleSwitch is the time without work that a change of an engine's role
	// takes. Zero means that engines keep their roles.
	RoleSwitch     time.Duration
	PrefillEngines int
	DecodeEngines  int
	// Slots is the maximum number of answers that a decode engine generates
	// concurrently.
	Slots int
	// Queue is the maximum number of requests that wait on a decode engine.
	Queue int
	// Memory is the memory of a decode engine, in tokens.
	Memory int
	// Block is the unit of memory allocation, in tokens.
	Block int
	// StepBase is the base time of a step, in which a decode engine generates one
	// token for each of its answers.
	StepBase time.Duration
	// StepPerRequest is added to the time of a step for each answer.
	StepPerRequest time.Duration
	// StepPerThousand is added to the time of a step for each thousand tokens
	// in memory.
	StepPerThousand time.Duration
	// PrefillPerToken is the time that a prefill engine takes for a token of a
	// prompt.
	PrefillPerToken time.Duration
	// FirstTokenOverhead is the additional time that the first token of an
	// answer takes.
	FirstTokenOverhead time.Duration
	// LocalPrefillChunk is the number of prompt tokens that a decode engine
	// prefills itself within one step.
	LocalPrefillChunk int
	// LocalPrefillFactor is the ratio of the times that a decode engine and a
	// prefill engine take to prefill a token.
	LocalPrefillFactor int
	// EventTokens is the number of tokens in an event.
	EventTokens int
	// CacheLifetime is the time for which a prefill engine keeps the KV cache
	// of a prefill.
	CacheLifetime time.Duration
	// TransferPerToken is the time to transfer the KV cache of one token within
	// a zone.
	TransferPerToken time.Duration
	// TransferSetup is the time that a transfer takes regardless of its length.
	TransferSetup time.Duration
	// CrossZoneFactor is how many times as long a transfer between zones takes
	// as one within a zone.
	CrossZoneFactor int
	// MaxTransferWait is the maximum time that a transfer waits for the links
	// of its engines. A transfer that would wait longer fails.
	MaxTransferWait time.Duration
	// MessageDelay is the delay of a message between processes.
	MessageDelay time.Duration
	// ProgressEvery is the minimum time between two progress events of a
	// stream.
	ProgressEvery time.Duration
	// ReportEvery is the interval of the engines' load reports, and ReportLag
	// their delay.
	ReportEvery time.Duration
	ReportLag   time.Duration
	// CrashDetection is the time after which the scheduler learns that an
	// engine has crashed or restarted.
	CrashDetection time.Duration
}

// callers describes the requests that arrive and the behaviour of callers.
type callers struct {
	Kinds []kind
	// RateAmplitude is the amplitude of the sinusoidal variation of the request
	// rate, relative to the mean rate.
	RateAmplitude float64
	// RatePeriod is the period of the sinusoidal variation of the request rate.
	RatePeriod time.Duration
	// Bursts lists the times at which more requests arrive.
	Bursts []burst
	// FirstEventTarget is the latency target of the first event.
	FirstEventTarget time.Duration
	// PauseTarget is the latency target of each further event, counted from the
	// event before it.
	PauseTarget time.Duration
	// CallerTimeout is the time from the arrival of a request after which its
	// caller gives up.
	CallerTimeout time.Duration
	// LateValue is the value of a late answer, relative to one in time.
	LateValue float64
	// MaxResubmissions is the maximum number of times that a caller submits a
	// refused request again.
	MaxResubmissions int
	// DisconnectShare is the fraction of the callers that disconnect early.
	DisconnectShare float64
	// DisconnectWithin is the maximum time between the arrival of a request and
	// the early disconnection of its caller.
	DisconnectWithin time.Duration
}

// kind is a kind of work. Lengths follow log-normal distributions.
type kind struct {
	Name sardineknot.WorkName
	// Rate is the mean number of requests per second.
	Rate float64
	// PromptMean is the mean length of prompts, PromptSpread the standard
	// deviation of the logarithm of the length, and PromptMax the maximum
	// length. Lengths are in tokens.
	PromptMean   float64
	PromptSpread float64
	PromptMax    int
	// SharedTokens is the number of further tokens of each prompt, which are
	// common to many prompts.
	SharedTokens int
	// EventsMean, EventsSpread and EventsMax describe the length of answers, in
	// events, in the same way as the prompt fields describe that of prompts.
	EventsMean   float64
	EventsSpread float64
	EventsMax    int
	// HintSpread is the standard deviation of the logarithm of callers'
	// estimates of the answer length.
	HintSpread float64
	// Attempts is the maximum number of attempts that may begin to generate an
	// answer.
	Attempts int
}

// burst multiplies the request rate of a kind of work, or of all kinds if Kind
// is empty, by Factor. It begins at the time From since the start of the run
// and lasts for Length.
type burst struct {
	Kind   sardineknot.WorkName
	From   time.Duration
	Length time.Duration
	Factor float64
}

// Rate returns the mean number of requests per second of the kind of work with
// the given index, at the time elapsed since the start. phase is the phase of
// the sinusoidal variation, from 0 to 1.
func (p Pattern) Rate(index int, elapsed time.Duration, phase float64) float64 {
	r := p.Kinds[index].Rate
	r *= 1 + p.RateAmplitude*math.Sin(2*math.Pi*(elapsed.Seconds()/p.RatePeriod.Seconds()+phase))
	for _, b := range p.Bursts {
		if (b.Kind == "" || b.Kind == p.Kinds[index].Name) && elapsed >= b.From && elapsed < b.From+b.Length {
			r *= b.Factor
		}
	}
	return r
}

// MaxRate returns an upper bound of Rate for the kind of work with the given
// index, over all times and phases.
func (p Pattern) MaxRate(index int) float64 {
	r := p.Kinds[index].Rate * (1 + p.RateAmplitude)
	for _, b := range p.Bursts {
		r *= max(1, b.Factor)
	}
	return r
}

// Prompt draws the length of a prompt, in tokens.
func (k kind) Prompt(random *rand.Rand) int {
	return k.SharedTokens + min(k.PromptMax, logNormal(random, k.PromptMean, k.PromptSpread))
}

// Events draws the length of an answer, in events.
func (k kind) Events(random *rand.Rand) int {
	return min(k.EventsMax, logNormal(random, k.EventsMean, k.EventsSpread))
}

// Hint draws a caller's estimate of the length of an answer that has the given
// number of tokens.
func (k kind) Hint(random *rand.Rand, tokens int) int {
	return max(1, int(float64(tokens)*math.Exp(k.HintSpread*random.NormFloat64())))
}

// logNormal draws a positive integer from the log-normal distribution with the
// given mean and spread, which is the standard deviation of the logarithm.
func logNormal(random *rand.Rand, mean, spread float64) int {
	return max(1, int(mean*math.Exp(spread*random.NormFloat64()-spread*spread/2)))
}
