// Package workload holds the models of the workloads that schedulers are
// measured with. Every constant of a model stands in constants.go.
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

// callers describes who asks for what.
type callers struct {
	// Accounts lists the client accounts.
	Accounts []account
	// Kinds lists the kinds of work.
	Kinds []kind
	// CancelShare is the share of callers that disconnect early, after an
	// exponentially distributed time with the mean CancelAfter.
	CancelShare float64
	CancelAfter time.Duration
	// Patience is the multiple of FirstToken after which a caller without a
	// token disconnects.
	Patience float64
	// Returns bounds how often a caller comes back.
	Returns int
	// ReturnJitter is the largest share that callers add to the time after
	// which they are told to come back.
	ReturnJitter float64
}

// account is a client account.
type account struct {
	Name sardineknot.ClientAccountName
	// Weight is the account's share of the asks, relative to the others.
	Weight float64
	// Length is a factor on the lengths of answers.
	Length float64
	// BurstFactor multiplies the rate for BurstLength in every BurstEvery. The
	// rate in between is lowered so that the mean stays. 1 means steady.
	BurstFactor float64
	BurstEvery  time.Duration
	BurstLength time.Duration
}

// kind is a kind of work. Lengths follow log-normal distributions.
type kind struct {
	Name sardineknot.WorkName
	// Weight is the share of asks, relative to the others.
	Weight     float64
	Priority   int
	FirstToken time.Duration
	PerToken   time.Duration
	MaxTokens  int
	// PromptMedian, PromptSigma and PromptMax give the prompt in tokens,
	// without a document.
	PromptMedian float64
	PromptSigma  float64
	PromptMax    int
	// AnswerMedian and AnswerSigma give the answer in tokens.
	AnswerMedian float64
	AnswerSigma  float64
	// Documents is the number of documents that prompts begin with. They are
	// chosen with probabilities that fall as 1/rank^DocumentSkew.
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
	// PrefillBase and PrefillPerToken give the time of a prefill.
	PrefillBase     time.Duration
	PrefillPerToken time.Duration
	// CachePieces is the number of pieces that a prefill engine caches.
	CachePieces int
	// CachedShare is the share of prefill work that caches are taken to save
	// in the definition of capacity.
	CachedShare float64
	// Slots and MemoryPieces are the limits of a decode engine.
	Slots        int
	MemoryPieces int
	// IntervalBase and IntervalPerRequest give the time between tokens. It is
	// multiplied by OvercommitFactor while memory is short.
	IntervalBase       time.Duration
	IntervalPerRequest time.Duration
	OvercommitFactor   float64
	// Life is the time for which a prefill result is kept.
	Life time.Duration
	// BytesPerToken is the size of the KV cache of one token.
	BytesPerToken int64
	// ReportEvery and ReportLag describe load reports.
	ReportEvery time.Duration
	ReportLag   time.Duration
}

// network describes delays and links.
type network struct {
	// Hop is the delay of a message from an entry host to an engine or back,
	// and of an event to the scheduler.
	Hop time.Duration
	// WithinZone and BetweenZones are the rates of links, in bytes a second.
	WithinZone   int64
	BetweenZones int64
}

// Interval returns the time between tokens with n requests.
func (e engines) Interval(n int) time.Duration {
	return e.IntervalBase + time.Duration(n)*e.IntervalPerRequest
}

// Prefill returns the time to prefill n tokens that are not cached.
func (e engines) Prefill(n int) time.Duration {
	return e.PrefillBase + time.Duration(n)*e.PrefillPerToken
}

// Capacity returns the number of asks a second that keeps the scarcest engines
// fully busy.
func (w Workload) Capacity() float64 {
	const draws = 20000
	r := rand.New(rand.NewPCG(1, 1))
	var p, t, m float64
	for range draws {
		a := w.Accounts[Pick(r, len(w.Accounts), func(i int) float64 { return w.Accounts[i].Weight })]
		k := w.Kinds[Pick(r, len(w.Kinds), func(i int) float64 { return w.Kinds[i].Weight })]
		n := k.Prompt(r) + w.documentTokens(r, k)
		o := k.Answer(r, a.Length)
		p += w.Prefill(n).Seconds()
		t += float64(o)
		m += float64(o) * math.Ceil(float64(n+o)/sardineknot.TokensPerMemoryPiece)
	}
	i := w.Interval(w.Slots).Seconds()
	l := float64(w.DecodeEngines) * float64(w.Slots) * draws / (t * i)
	l = min(l, float64(w.DecodeEngines)*float64(w.MemoryPieces)*draws/(m*i))
	return min(l, float64(w.PrefillEngines)*draws/(p*(1-w.CachedShare)))
}

func (w Workload) documentTokens(r *rand.Rand, k kind) int {
	if k.Documents == 0 {
		return 0
	}
	return k.DocumentTokens(k.Document(r))
}

// Document draws the number of a document.
func (k kind) Document(r *rand.Rand) int {
	return Pick(r, k.Documents, func(i int) float64 { return math.Pow(float64(i+1), -k.DocumentSkew) })
}

// DocumentTokens returns the length of document d.
func (k kind) DocumentTokens(d int) int {
	r := rand.New(rand.NewPCG(uint64(d), 7))
	return logNormal(r, k.DocumentMedian, k.DocumentSigma, k.DocumentMax)
}

// Prompt draws the length of a prompt without its document.
func (k kind) Prompt(r *rand.Rand) int {
	return logNormal(r, k.PromptMedian, k.PromptSigma, k.PromptMax)
}

// Answer draws the length of an answer.
func (k kind) Answer(r *rand.Rand, factor float64) int {
	return logNormal(r, k.AnswerMedian*factor, k.AnswerSigma, k.MaxTokens)
}

// Pick draws an index below n with probabilities in proportion to weight.
func Pick(r *rand.Rand, n int, weight func(int) float64) int {
	var t float64
	for i := range n {
		t += weight(i)
	}
	x := r.Float64() * t
	for i := range n {
		x -= weight(i)
		if x < 0 {
			return i
		}
	}
	return n - 1
}

func logNormal(r *rand.Rand, median, sigma float64, limit int) int {
	return min(limit, max(4, int(median*math.Exp(sigma*r.NormFloat64()))))
}
