// Package tracker counts the outcomes of requests in sliding windows and in
// metrics.
//
// A window is a ring of buckets; a bucket covers a fixed length of time, so a
// window is exact to the length of one bucket.
package tracker

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
)

const (
	// shardCount is the number of independently locked parts.
	shardCount = 32
	// bucketsPerWindow is the resolution of a window.
	bucketsPerWindow = 30
	// reservoirSize is the number of samples that a latency histogram keeps.
	reservoirSize = 1028
	// reservoirAlpha weighs recent samples, as the library advises.
	reservoirAlpha = 0.015
)

// Tracker is a sardineknot.OutcomeRecorder. It is safe for concurrent use.
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

type shard struct {
	mu    sync.Mutex
	works map[key]*work
}

type work struct {
	// objective is that of the last outcome.
	objective float64
	fast      ring
	slow      ring
}

// NewTracker returns a tracker without outcomes. It registers the counters
// outcome.KIND and the histograms latency.first_token and latency.per_token,
// in microseconds, in r.
func NewTracker(r metrics.Registry) *Tracker {
	t := &Tracker{metrics: r}
	t.firstToken = metrics.GetOrRegisterHistogram("latency.first_token", r, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	t.perToken = metrics.GetOrRegisterHistogram("latency.per_token", r, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	for i := range t.shards {
		t.shards[i].works = make(map[key]*work)
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
	s.work(k).add(now, o)
}

// Windows returns the counts of every work that had a request within the slow
// window before now.
func (t *Tracker) Windows(now time.Time) []sardineknot.BurnWindows {
	var l []sardineknot.BurnWindows
	for i := range t.shards {
		l = append(l, t.shards[i].windows(now)...)
	}
	return l
}

func (s *shard) work(k key) *work {
	w := s.works[k]
	if w == nil {
		w = &work{
			fast: ring{step: sardineknot.FastBurnWindow / bucketsPerWindow},
			slow: ring{step: sardineknot.SlowBurnWindow / bucketsPerWindow},
		}
		s.works[k] = w
	}
	return w
}

// windows returns the counts of s and forgets works without requests.
func (s *shard) windows(now time.Time) []sardineknot.BurnWindows {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []sardineknot.BurnWindows
	for k, w := range s.works {
		c := w.slow.sum(now)
		if c.Total == 0 {
			delete(s.works, k)
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

func (w *work) add(now time.Time, o sardineknot.Outcome) {
	w.objective = o.Objective
	b := o.Kind != sardineknot.OutcomeGood
	w.fast.add(now, b)
	w.slow.add(now, b)
}
