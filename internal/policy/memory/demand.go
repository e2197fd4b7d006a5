package memory

import (
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// demandSlot is the resolution of the demand. demandSlots of them are kept, which
	// is more than the period of the waves that callers are known for (11 to 17 s).
	// The demand of demandWindow of them is averaged: less would take a chance
	// accumulation of arrivals for a peak, more would hide the peak of a wave.
	demandSlot   = time.Second
	demandSlots  = 20
	demandWindow = 5
	// usableMemory is the share of the memory of decode engines that answers
	// occupy at full load. The rest is fragments, reserves for forecast errors, and
	// engines on which the next answer does not fit.
	usableMemory = 0.8
)

// work is what jobs require of engines.
type work struct {
	// promptTokens is the number of tokens to prefill. memory is the product of the
	// memory of answers and their duration, in token-seconds, and slots the sum of
	// their durations, in seconds.
	promptTokens, memory, slots float64
}

func (w *work) add(o work) {
	w.promptTokens += o.promptTokens
	w.memory += o.memory
	w.slots += o.slots
}

// demand is the work that arrived in each of the last slots. A slot is the number
// of whole demandSlots since the epoch.
type demand struct {
	since time.Time
	last  int64
	slots [demandSlots]work
}

func slotOf(at time.Time) int64 { return at.UnixNano() / int64(demandSlot) }

// advance clears the slots that have begun since the last call.
func (d *demand) advance(now time.Time) {
	n := slotOf(now)
	for i := max(d.last+1, n-demandSlots+1); i <= n; i++ {
		d.slots[i%demandSlots] = work{}
	}
	d.last = max(d.last, n)
}

// peak returns the largest work of demandWindow successive whole slots, per second.
// The slot that has just begun is left out.
func (d *demand) peak() work {
	var m work
	for i := d.last - demandSlots + 1; i+demandWindow <= d.last; i++ {
		var w work
		for k := range int64(demandWindow) {
			w.add(d.slots[(i+k)%demandSlots])
		}
		if w.promptTokens > m.promptTokens {
			m = w
		}
	}
	s := demandWindow * demandSlot.Seconds()
	return work{m.promptTokens / s, m.memory / s, m.slots / s}
}

// observeDemand adds a job that has arrived to the demand. A prompt whose KV cache
// is held by an engine is not prefilled again.
func (s *Scheduler) observeDemand(now time.Time, j *job) {
	d := &s.demand
	if d.since.IsZero() {
		d.since = now
	}
	d.advance(now)
	r := s.typical.tokens
	if r <= 0 {
		r = initialTokensPerSecond
	}
	n := j.length.expectedTotal(0)
	w := work{memory: (float64(j.PromptTokens) + n/2) * n / r, slots: n / r}
	if j.CachedOn == "" {
		w.promptTokens = float64(j.PromptTokens)
	}
	d.slots[d.last%demandSlots].add(w)
}

// Demand implements sardineknot.DemandObserver. Without engines it returns no
// demand.
func (s *Scheduler) Demand(now time.Time) sardineknot.EngineDemand {
	d := sardineknot.EngineDemand{Speeds: make(map[sardineknot.BackendServerName]float64)}
	s.updateTypical(now)
	var m, n float64
	for _, e := range append(append([]*engine(nil), s.prefill...), s.decode...) {
		d.Speeds[e.server.Name] = e.speeds.relative(now, s.typical, e.server.Role)
		m += usableMemory * float64(e.server.MemoryTokens)
		n += float64(e.server.Slots)
	}
	if s.demand.since.IsZero() || m == 0 || n == 0 {
		return d
	}
	s.demand.advance(now)
	p, c := s.demand.peak(), float64(len(d.Speeds))
	d.Observed = now.Sub(s.demand.since)
	d.Prefill = p.promptTokens / s.typical.prompts
	d.Decode = max(p.memory/(m/c), p.slots/(n/c))
	return d
}
