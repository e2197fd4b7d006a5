// Package tracker counts the outcomes of requests in sliding windows and in
// metrics.
//
// A window is a ring buffer of buckets. Each bucket covers an interval of fixed
// length, so the length of a window is exact to within one interval.
package tracker

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
)

const (
	// shardCount is the number of independently locked shards.
	shardCount = 32
	// bucketsPerWindow is the number of buckets of a window.
	bucketsPerWindow = 30
	// reservoirSize is the number of samples that a latency histogram keeps.
	reservoirSize = 1028
	// reservoirAlpha is the decay factor of a latency histogram: the larger it
	// is, the more recent samples dominate. The value is the one that go-metrics
	// recommends.
	reservoirAlpha = 0.015
)

// Tracker implements sardineknot.OutcomeRecorder. It is safe for concurrent
// use.
type Tracker struct {
	metrics    metrics.Registry
	firstToken metrics.Histogram
	perToken   metrics.Histogram
	shards     [shardCount]shard
}

var _ sardineknot.OutcomeRecorder = (*Tracker)(nil)

type key struct {
	account sardineknot.ClientAccountName
	work    sardineknot.WorkName
}

// shard holds the windows of the client accounts that hash to it.
type shard struct {
	mu           sync.Mutex
	windowsByKey map[key]*workWindows
}

// workWindows holds the windows of one class of work of one client account.
type workWindows struct {
	// objective is the fraction of requests that must have a good outcome,
	// according to the most recent outcome.
	objective float64
	// fast covers FastBurnWindow, and slow covers SlowBurnWindow.
	fast ring
	slow ring
}

// NewTracker returns a tracker without outcomes. It registers the counters
// outcome.KIND and the histograms latency.first_token and latency.per_token,
// in microseconds, in r.
func NewTracker(r metrics.Registry) *Tracker {
	t := &Tracker{metrics: r}
	t.firstToken = metrics.GetOrRegisterHistogram("latency.first_token", r, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	t.perToken = metrics.GetOrRegisterHistogram("latency.per_token", r, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	for i := range t.shards {
		t.shards[i].windowsByKey = make(map[key]*workWindows)
	}
	return t
}

// Record implements sardineknot.OutcomeRecorder.
func (t *Tracker) Record(now time.Time, o sardineknot.Outcome) {
	metrics.GetOrRegisterCounter("outcome."+string(o.Kind), t.metrics).Inc(1)
	if o.FirstToken > 0 {
		t.firstToken.Update(o.FirstToken.Microseconds())
	}
	if o.PerToken > 0 {
		t.perToken.Update(o.PerToken.Microseconds())
	}
	if o.Kind == sardineknot.OutcomeAbandoned {
		return
	}
	k := key{o.Account, o.Work}
	s := &t.shards[xxhash.Sum64String(string(o.Account))%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workWindows(k).add(now, o)
}

// Windows returns the numbers of requests for all work that had a request
// within the slow window, which ends at now.
func (t *Tracker) Windows(now time.Time) []sardineknot.BurnWindows {
	var l []sardineknot.BurnWindows
	for i := range t.shards {
		l = append(l, t.shards[i].windows(now)...)
	}
	return l
}

// workWindows returns the windows for k. It creates them if necessary.
func (s *shard) workWindows(k key) *workWindows {
	w := s.windowsByKey[k]
	if w == nil {
		w = &workWindows{
			fast: ring{interval: sardineknot.FastBurnWindow / bucketsPerWindow},
			slow: ring{interval: sardineknot.SlowBurnWindow / bucketsPerWindow},
		}
		s.windowsByKey[k] = w
	}
	return w
}

// windows returns the numbers of requests for all work in s that had a request
// within the slow window, and removes all other work.
func (s *shard) windows(now time.Time) []sardineknot.BurnWindows {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []sardineknot.BurnWindows
	for k, w := range s.windowsByKey {
		c := w.slow.sum(now)
		if c.Total == 0 {
			delete(s.windowsByKey, k)
			continue
		}
		l = append(l, sardineknot.BurnWindows{
			Account:   k.account,
			Work:      k.work,
			Objective: w.objective,
			Fast:      w.fast.sum(now),
			Slow:      c,
		})
	}
	return l
}

// add counts o in both windows.
func (w *workWindows) add(now time.Time, o sardineknot.Outcome) {
	w.objective = o.Objective
	b := o.Kind != sardineknot.OutcomeGood
	w.fast.add(now, b)
	w.slow.add(now, b)
}
