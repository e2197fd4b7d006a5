package timed

import (
	"time"

	"sardineknot.example/sardineknot"
)

// state is the step that a job is in.
type state int

const (
	// queued jobs wait in the router.
	queued state = iota
	// prefilling jobs were sent to a prefill engine.
	prefilling
	// ready jobs have a prefill result and wait for a slot.
	ready
	// importing jobs were sent to a decode engine and have no first token.
	importing
	// decoding jobs generate tokens.
	decoding
)

// job is a job that has not ended.
type job struct {
	sardineknot.Job
	state state
	// prefill is set from the state prefilling on. It is nil again once the
	// engine's work has ended.
	prefill *engine
	// from is the zone of the prefill engine.
	from sardineknot.AvailabilityZone
	// decode is the engine on which a slot is reserved or in use, or nil.
	decode *engine
	// cost is the estimated time of the prefill.
	cost time.Duration
	// probe tells that the job was admitted against the estimates.
	probe bool
	// hits is the number of prefixes that the prefill engine was sent before.
	hits int
	// pieces is the estimated engine memory at the end of the answer.
	pieces int
	// bytes is the size of the KV cache of the prompt.
	bytes float64
	// began and due are the begin and expected end of the present state.
	began time.Time
	due   time.Time
	// expiry is the end of the life of the prefill's result.
	expiry time.Time
	// predicted is the transfer time expected at the begin of importing.
	predicted time.Duration
	// latestStart is the time from which the first token is late for certain.
	latestStart time.Time
	// heapIndex is the position in Scheduler.latest.
	heapIndex int
	// engineIndex is the position in decode.jobs or prefill.jobs.
	engineIndex [2]int
}

func (s *Scheduler) newJob(j sardineknot.Job) *job {
	n := &job{Job: j, bytes: float64(j.PromptTokens) * s.BytesPerToken}
	q := s.lengths.Quantile(j.Key.Account, j.Work, reservedQuantile, j.MaxTokens)
	n.pieces = (j.PromptTokens + q + sardineknot.PieceTokens - 1) / sardineknot.PieceTokens
	n.cost = s.prefillCost(j.PromptTokens, s.bestHits(n))
	n.latestStart = j.Deadline.Add(-n.cost - seconds(s.interval) - slack)
	return n
}

// bestHits returns the largest number of n's prefixes that an engine was sent.
func (s *Scheduler) bestHits(n *job) int {
	var b int
	for _, e := range s.prefill {
		b = max(b, s.prefixes.Match(n.Prefixes, e.server.Name))
	}
	return b
}

// prefillCost returns the estimated time to prefill n tokens, the leading hits
// pieces of which are cached.
func (s *Scheduler) prefillCost(n, hits int) time.Duration {
	return seconds(s.perToken * float64(max(minPrefillTokens, n-hits*sardineknot.PieceTokens)))
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// deadlines is a heap of queued jobs by their latest start.
type deadlines []*job

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].latestStart.Before(d[j].latestStart) }

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex = i
	d[j].heapIndex = j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*d)
	*d = append(*d, j)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	n := len(*d) - 1
	x := (*d)[n]
	(*d)[n] = nil
	*d = (*d)[:n]
	return x
}
