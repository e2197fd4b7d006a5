package timed

import (
	"time"

	"sardineknot.example/sardineknot"
)

// state is the current step of a job.
type state int

const (
	// queued jobs were sent to no engine yet and wait in Scheduler.queue.
	queued state = iota
	// prefilling jobs were sent to a prefill engine.
	prefilling
	// ready jobs have a KV cache on their prefill engine and wait for a decode
	// slot.
	ready
	// importing jobs were sent to a decode engine and have no first token yet.
	importing
	// decoding jobs generate tokens.
	decoding
)

// job is a job that has not ended.
type job struct {
	sardineknot.Job
	state state
	// prefill is set while the job occupies a prefill engine, and nil
	// otherwise.
	prefill *engine
	// prefillZone is the zone of the prefill engine.
	prefillZone sardineknot.AvailabilityZone
	// decode is the engine on which a slot is reserved or in use, or nil.
	decode *engine
	// prefillTime is the estimated duration of the prefill.
	prefillTime time.Duration
	// admittedAsProbe is set if the job was admitted although its first token
	// was predicted to be late. The measured duration of its prefill corrects
	// the estimates behind this prediction.
	admittedAsProbe bool
	// prefixHits is the number of leading prefixes of the prompt that the
	// prefill engine has already received with other jobs and probably still
	// caches.
	prefixHits int
	// memoryPieces is the estimated engine memory at the end of the answer, in
	// pieces.
	memoryPieces int
	// cacheBytes is the size of the KV cache of the prompt.
	cacheBytes float64
	// stateStart and expectedEnd are the start and expected end of the current
	// state.
	stateStart  time.Time
	expectedEnd time.Time
	// resultExpiry is the time by which the transfer of the KV cache that the
	// prefill computed must have ended.
	resultExpiry time.Time
	// predictedTransfer is the transfer time predicted at the start of
	// importing.
	predictedTransfer time.Duration
	// latestStart is the time after which the first token misses the deadline
	// even if the prefill starts at once.
	latestStart time.Time
	// heapIndex is the position in Scheduler.byLatestStart.
	heapIndex int
	// engineIndex holds the position in the jobs of the prefill engine and of
	// the decode engine, each at the index of its side.
	engineIndex [2]int
}

// side says for which of its two engines a job is listed.
type side int

const (
	prefillSide side = iota
	decodeSide
)

// newJob returns the queued job of spec with its estimates as of now. The
// scheduler does not hold the job yet.
func (s *Scheduler) newJob(spec sardineknot.Job) *job {
	n := &job{Job: spec, cacheBytes: float64(spec.PromptTokens) * s.BytesPerToken}
	q := s.lengths.Quantile(spec.Key.Account, spec.Work, reservedQuantile, spec.MaxTokens)
	n.memoryPieces = (spec.PromptTokens + q + sardineknot.TokensPerMemoryPiece - 1) / sardineknot.TokensPerMemoryPiece
	n.prefillTime = s.estimatePrefill(spec.PromptTokens, s.maxPrefixHits(n))
	n.latestStart = spec.FirstTokenDeadline.Add(-n.prefillTime - seconds(s.tokenInterval) - firstTokenMargin)
	return n
}

// maxPrefixHits returns the largest number of leading prefixes of j's prompt
// that a single prefill engine has already received.
func (s *Scheduler) maxPrefixHits(j *job) int {
	var b int
	for _, e := range s.prefill {
		b = max(b, s.prefixes.Match(j.PrefixHashes, e.server.Name))
	}
	return b
}

// estimatePrefill returns the estimated time to prefill a prompt of the given
// number of tokens. hits is the number of leading prefixes that are cached,
// each of TokensPerMemoryPiece tokens.
func (s *Scheduler) estimatePrefill(tokens, hits int) time.Duration {
	return seconds(s.prefillPerToken * float64(max(minPrefillTokens, tokens-hits*sardineknot.TokensPerMemoryPiece)))
}

// seconds converts a number of seconds.
func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// Before reports whether the latest start of j is before that of other.
func (j *job) Before(other *job) bool { return j.latestStart.Before(other.latestStart) }

// SetIndex records the position of j in Scheduler.byLatestStart.
func (j *job) SetIndex(index int) { j.heapIndex = index }
