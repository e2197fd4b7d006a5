package memory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstEventMargin is reserved between the end of a prefill and the
	// deadline of the first event, for the cache transfer and the first tokens.
	firstEventMargin = 120 * time.Millisecond
	// minResumedWait is the least time for which a resumed job may wait before
	// it is refused, even if its first event becomes late. The caller of such a
	// job has few retries left.
	minResumedWait = 3 * time.Second
)

// sortedQueue returns the waiting jobs in the order of service: jobs whose
// first event can still meet its deadline precede late ones. Ties are broken by
// urgency, by the shares of client accounts and then by arrival.
func (s *Scheduler) sortedQueue(now time.Time) []*job {
	l := slices.Clone(s.queue)
	s.tagJobs(now, l)
	slices.SortStableFunc(l, func(a, b *job) int {
		return cmp.Or(
			falseFirst(a.late(now), b.late(now)), falseFirst(!a.limited, !b.limited), falseFirst(!a.starved, !b.starved),
			cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.RoutePriority, b.RoutePriority),
			cmp.Compare(a.tag, b.tag), a.arrivedAt.Compare(b.arrivedAt),
		)
	})
	return l
}

// falseFirst compares a and b, of which false is the smaller.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// late reports whether the first event of j would miss its deadline if j
// started now. Jobs of callers that were refused before always count as late.
// Resumed jobs never do: a part of their answer was generated already, and their
// callers have few retries left. Nor do jobs that only some engines may run: they get
// these engines before jobs that any engine may run.
func (j *job) late(now time.Time) bool {
	if j.limited || j.Resumed {
		return false
	}
	return j.refusedBefore || now.Add(j.prefillTime+firstEventMargin).After(j.FirstTokenDeadline)
}

// latestStart returns the time until which j may wait.
func (j *job) latestStart() time.Time {
	if j.Resumed {
		return later(j.arrivedAt.Add(minResumedWait), j.FirstTokenDeadline.Add(-j.prefillTime-firstEventMargin))
	}
	return j.FirstTokenDeadline.Add(-j.prefillTime - firstEventMargin)
}

// pastLatestStart reports whether the waiting job j can no longer start in time
// and is to be refused.
func (s *Scheduler) pastLatestStart(now time.Time, j *job) bool {
	return !now.Before(j.latestStart())
}
