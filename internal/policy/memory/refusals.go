package memory

import (
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// returnAfter is the time after which a refused caller comes back. It is
	// longer than most bursts.
	returnAfter = 4200 * time.Millisecond
	// returnSpread is the time over which callers come back that were refused
	// at once.
	returnSpread = 400 * time.Millisecond
	// returnGap is kept between two callers that come back.
	returnGap = 20 * time.Millisecond
	// rememberTime is the time for which a refused prompt is remembered.
	rememberTime = 10 * time.Second
)

// refusals spreads the callers that come back over time, and knows them again.
type refusals struct {
	// last is the latest time that a caller was told.
	last time.Time
	// prompts holds the time of refusal by prompt, and order the prompts by
	// time.
	prompts map[uint64]time.Time
	order   []uint64
}

// next returns the time after which a caller that is refused now comes back.
func (r *refusals) next(now time.Time) time.Duration {
	t := later(now.Add(returnAfter), r.last.Add(returnGap))
	if l := now.Add(returnAfter + returnSpread); t.After(l) {
		t = l
	}
	r.last = t
	return t.Sub(now)
}

// note remembers that j is refused.
func (r *refusals) note(now time.Time, j *job) {
	for len(r.order) > 0 && now.Sub(r.prompts[r.order[0]]) > rememberTime {
		delete(r.prompts, r.order[0])
		r.order = r.order[1:]
	}
	k, ok := promptKey(j.Job)
	if !ok {
		return
	}
	if r.prompts == nil {
		r.prompts = make(map[uint64]time.Time)
	}
	if _, ok := r.prompts[k]; !ok {
		r.order = append(r.order, k)
	}
	r.prompts[k] = now
}

// returned reports whether the prompt of j was refused before.
func (r *refusals) returned(j sardineknot.Job) bool {
	k, ok := promptKey(j)
	if !ok {
		return false
	}
	_, ok = r.prompts[k]
	return ok
}

// promptKey returns what tells the prompt of j from others.
func promptKey(j sardineknot.Job) (k uint64, ok bool) {
	if len(j.Prefixes) == 0 {
		return 0, false
	}
	return j.Prefixes[len(j.Prefixes)-1], true
}
