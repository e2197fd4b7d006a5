package memory

import (
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// minRetryAfter is the shortest time after which a refused caller retries.
	// It is longer than most bursts.
	minRetryAfter = 4200 * time.Millisecond
	// retrySpread is the interval after minRetryAfter over which the retries of
	// callers refused at the same time are spread.
	retrySpread = 400 * time.Millisecond
	// retrySpacing is the time between the retries of two callers that are
	// refused at the same time. Callers for which retrySpread leaves no room
	// retry together at its end.
	retrySpacing = 20 * time.Millisecond
	// refusalRetention is the time for which a refused prompt is recorded.
	refusalRetention = 10 * time.Second
)

// refusals spaces out the retries of refused callers and recognizes retries by
// their prompts.
type refusals struct {
	// lastRetryAt is the latest retry time that was given to a caller.
	lastRetryAt time.Time
	// refusedAt holds the time of the last refusal by prompt key. order lists
	// the keys of refusedAt in the order of their insertion.
	refusedAt map[uint64]time.Time
	order     []uint64
}

// retryAfter returns the time after which a caller that is refused at time now
// may retry.
func (r *refusals) retryAfter(now time.Time) time.Duration {
	t := later(now.Add(minRetryAfter), r.lastRetryAt.Add(retrySpacing))
	if l := now.Add(minRetryAfter + retrySpread); t.After(l) {
		t = l
	}
	r.lastRetryAt = t
	return t.Sub(now)
}

// record records the refusal of j and deletes expired records.
func (r *refusals) record(now time.Time, j *job) {
	for len(r.order) > 0 && now.Sub(r.refusedAt[r.order[0]]) > refusalRetention {
		delete(r.refusedAt, r.order[0])
		r.order = r.order[1:]
	}
	k, ok := promptKey(j.Job)
	if !ok {
		return
	}
	if r.refusedAt == nil {
		r.refusedAt = make(map[uint64]time.Time)
	}
	if _, ok := r.refusedAt[k]; !ok {
		r.order = append(r.order, k)
	}
	r.refusedAt[k] = now
}

// contains reports whether a refusal of the prompt of spec is recorded.
func (r *refusals) contains(spec sardineknot.Job) bool {
	k, ok := promptKey(spec)
	if !ok {
		return false
	}
	_, ok = r.refusedAt[k]
	return ok
}

// promptKey returns a key that identifies the prompt of a job: its longest
// prefix hash. ok is false if the job has no prefix hashes.
func promptKey(spec sardineknot.Job) (key uint64, ok bool) {
	if len(spec.PrefixHashes) == 0 {
		return 0, false
	}
	return spec.PrefixHashes[len(spec.PrefixHashes)-1], true
}
