// Package workload defines the workloads on which schedulers are measured. The
// constants of all workloads are in constants.go.
package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"sardineknot.example/sardineknot"
)

// Workload is a model of callers, engines and links.
type Workload struct {
	// Name selects the workload.
	Name string
	// Zones lists the availability zones.
	Zones []sardineknot.AvailabilityZone
	// EntryHosts is the number of entry hosts.
	EntryHosts int
	callers
	engines
	network
}

// callers describes the requests that arrive and the behaviour of callers.
type callers struct {
	// Accounts lists the client accounts.
	Accounts []account
	// Kinds lists the kinds of work.
	Kinds []kind
	// CancelShare is the fraction of callers that disconnect early, after an
	// exponentially distributed time with mean CancelAfter.
	CancelShare float64
	CancelAfter time.Duration
	// TimeoutFactor is the time after which a caller that has received no token
	// disconnects, as a multiple of the FirstToken of the kind of work.
	TimeoutFactor float64
	// MaxResubmissions is the maximum number of times that a caller submits the
	// same request again.
	MaxResubmissions int
	// ResubmissionJitter is the maximum random extension of the delay before a
	// caller submits a request again, as a fraction of that delay.
	ResubmissionJitter float64
}

// account is a client account.
type account struct {
	Name sardineknot.ClientAccountName
	// Weight is the account's share of the requests, relative to the weights of
	// the other accounts.
	Weight float64
	// AnswerFactor multiplies the median length of answers.
	AnswerFactor float64
	// BurstFactor multiplies the request rate for the time BurstLength at the
	// beginning of every period BurstEvery. The rate outside bursts is lowered
	// so that the mean rate stays the same. A factor of 1 means a constant
	// rate.
	BurstFactor float64
	BurstEvery  time.Duration
	BurstLength time.Duration
}

// kind is a kind of work. Lengths follow log-normal distributions.
type kind struct {
	Name sardineknot.WorkName
	// Weight is the kind's share of the requests, relative to the weights of the
	// other kinds.
	Weight     float64
	Priority   int
	FirstToken time.Duration
	PerToken   time.Duration
	MaxTokens  int
	// PromptMedian is the median length of prompts, PromptSigma the standard
	// deviation of the logarithm of the length, and PromptMax the maximum
	// length. Lengths are in tokens, without the document.
	PromptMedian float64
	PromptSigma  float64
	PromptMax    int
	// AnswerMedian and AnswerSigma describe the length of answers in the same
	// way. The maximum is MaxTokens.
	AnswerMedian float64
	AnswerSigma  float64
	// Documents is the number of documents. Every prompt begins with one of
	// them, and the probability of a document is proportional to
	// 1/rank^DocumentSkew. Zero means that prompts have no document.
	// DocumentMedian, DocumentSigma and DocumentMax describe the length of
	// documents.
	Documents      int
	DocumentSkew   float64
	DocumentMedian float64
	DocumentSigma  float64
	DocumentMax    int
}

// engines describes the engines.
type engines struct {
	PrefillEngines int
	DecodeEngines  int
	// PrefillBase is the time of a prefill regardless of the length of the
	// prompt. PrefillPerToken is added for each token of the prompt that is not
	// cached.
	PrefillBase     time.Duration
	PrefillPerToken time.Duration
	// CachePieces is the number of memory pieces that a prefill engine caches.
	CachePieces int
	// CachedShare is the fraction of the prefill work that is assumed to be
	// saved by caches when Capacity is computed.
	CachedShare float64
	// Slots and MemoryPieces are the limits of a decode engine.
	Slots        int
	MemoryPieces int
	// IntervalBase and IntervalPerRequest determine the time between tokens, as
	// defined by Interval. This time is multiplied by OvercommitFactor while
	// the requests of an engine exceed its memory.
	IntervalBase       time.Duration
	IntervalPerRequest time.Duration
	OvercommitFactor   float64
	// CacheLifetime is the time for which a prefill engine keeps the KV cache
	// of a prefill.
	CacheLifetime time.Duration
	// BytesPerToken is the size of the KV cache of one token.
	BytesPerToken int64
	// ReportEvery is the interval of the engines' load reports, and ReportLag
	// their delay.
	ReportEvery time.Duration
	ReportLag   time.Duration
}

// network describes delays and links.
type network struct {
	// MessageDelay is the delay of a message between an entry host and an
	// engine, in either direction, and of an event to the scheduler.
	MessageDelay time.Duration
	// IntraZoneRate is the rate of a link within a zone, in bytes per second.
	IntraZoneRate int64
	// InterZoneRate is the rate of a link between zones, in bytes per second.
	InterZoneRate int64
}

// Interval returns the time between two tokens of a request on a decode engine
// with the given number of generating requests.
func (e engines) Interval(requests int) time.Duration {
	return e.IntervalBase + time.Duration(requests)*e.IntervalPerRequest
}

// Prefill returns the time to prefill a prompt of which the given number of
// tokens are not cached.
func (e engines) Prefill(tokens int) time.Duration {
	return e.PrefillBase + time.Duration(tokens)*e.PrefillPerToken
}

// Capacity returns the number of requests per second at which the bottleneck is
// fully utilized. The bottleneck is the prefill engines, or the slots or the
// memory of the decode engines. Capacity is estimated from a fixed random
// sample of requests.
func (w Workload) Capacity() float64 {
	const draws = 20000
	r := rand.New(rand.NewPCG(1, 1))
	var p, t, m float64
	for range draws {
		a := w.Accounts[Pick(r, len(w.Accounts), func(i int) float64 { return w.Accounts[i].Weight })]
		k := w.Kinds[Pick(r, len(w.Kinds), func(i int) float64 { return w.Kinds[i].Weight })]
		n := k.Prompt(r) + w.documentTokens(r, k)
		o := k.Answer(r, a.AnswerFactor)
		p += w.Prefill(n).Seconds()
		t += float64(o)
		m += float64(o) * math.Ceil(float64(n+o)/sardineknot.TokensPerMemoryPiece)
	}
	i := w.Interval(w.Slots).Seconds()
	l := float64(w.DecodeEngines) * float64(w.Slots) * draws / (t * i)
	l = min(l, float64(w.DecodeEngines)*float64(w.MemoryPieces)*draws/(m*i))
	return min(l, float64(w.PrefillEngines)*draws/(p*(1-w.CachedShare)))
}

// documentTokens draws the length, in tokens, of the document of a prompt. It
// returns zero if prompts of the kind k have no document.
func (w Workload) documentTokens(random *rand.Rand, k kind) int {
	if k.Documents == 0 {
		return 0
	}
	return k.DocumentTokens(k.Document(random))
}

// Document draws the index of a document. k must have documents.
func (k kind) Document(random *rand.Rand) int {
	return Pick(random, k.Documents, func(i int) float64 { return math.Pow(float64(i+1), -k.DocumentSkew) })
}

// DocumentTokens returns the length, in tokens, of the document with the given
// index. It returns the same length on every call.
func (k kind) DocumentTokens(index int) int {
	r := rand.New(rand.NewPCG(uint64(index), 7))
	return logNormal(r, k.DocumentMedian, k.DocumentSigma, k.DocumentMax)
}

// Prompt draws the length of a prompt without its document, in tokens.
func (k kind) Prompt(random *rand.Rand) int {
	return logNormal(random, k.PromptMedian, k.PromptSigma, k.PromptMax)
}

// Answer draws the length of an answer, in tokens. factor multiplies
// AnswerMedian.
func (k kind) Answer(random *rand.Rand, factor float64) int {
	return logNormal(random, k.AnswerMedian*factor, k.AnswerSigma, k.MaxTokens)
}

// Pick draws an index below count with a probability proportional to its weight.
// count must be positive.
func Pick(random *rand.Rand, count int, weight func(int) float64) int {
	var t float64
	for i := range count {
		t += weight(i)
	}
	x := random.Float64() * t
	for i := range count {
		x -= weight(i)
		if x < 0 {
			return i
		}
	}
	return count - 1
}

// logNormal draws an integer from 4 to limit. It follows the log-normal
// distribution with the given median and with sigma, the standard deviation of
// the logarithm, apart from these limits.
func logNormal(random *rand.Rand, median, sigma float64, limit int) int {
	return min(limit, max(4, int(median*math.Exp(sigma*random.NormFloat64()))))
}
