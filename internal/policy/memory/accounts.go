package memory

import (
	"time"

	"sardineknot.example/sardineknot"
)

// tagJobs sets the tags of queue, which is in the order of arrival. Jobs without a client
// account have the tag zero, so that a deployment without accounts pays nothing.
func (s *Scheduler) tagJobs(now time.Time, queue []*job) {
	var c map[sardineknot.ClientAccountName]float64
	for _, j := range queue {
		if j.Account == "" {
			continue
		}
		if c == nil {
			c = make(map[sardineknot.ClientAccountName]float64)
		}
		j.tag = s.shares.Tag(j.Account) + c[j.Account]
		j.starved = s.shares.Starved(now, j.Account)
		c[j.Account] += j.cost()
	}
}

// cost returns the memory that j is expected to occupy at its end, in tokens. It is what
// jobs compete for.
func (j *job) cost() float64 { return float64(j.PromptTokens) + j.length.expectedTotal(0) }

// recordServed charges j, which has just been granted engines, to its client account.
func (s *Scheduler) recordServed(now time.Time, j *job) {
	if j.Account != "" {
		s.shares.Serve(now, j.Account, j.cost())
	}
}
