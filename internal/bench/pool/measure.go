package pool

import (
	"cmp"
	"slices"
	"time"

	"sardineknot.example/sardineknot/internal/bench/score"
)

const (
	// window is the length of the windows of Score.Worst.
	window = 2 * time.Second
	// worstPart is the number of windows of which one counts as worst.
	worstPart = 10
	// largestPart is the number of asks of which one counts as large.
	largestPart = 10
)

// finish works out the score.
func (p *Pool) finish() score.Score {
	l := p.owed()
	s := score.Score{
		Pattern: p.pattern.Name,
		Asks:    len(l),
		InTime:  share(l, outcomeInTime),
		Late:    share(l, outcomeLate),
		Refused: share(l, outcomeRefused),
		Served:  p.served(l),
		Worst:   p.worst(l),
		Waste:   float64(p.vain) / float64(max(1, p.read)),
		Read:    float64(p.read) / 1000,
	}
	s.Broken = 1 - s.InTime - s.Late - s.Refused
	s.Smallest = p.smallest(l)
	s.Preempted = float64(p.preempted) / float64(max(1, p.begun))
	slices.SortStableFunc(l, func(a, b *ask) int { return cmp.Compare(p.size(b), p.size(a)) })
	s.Largest = share(l[:len(l)/largestPart], outcomeInTime) / max(0.01, s.InTime)
	s.First = median(l)
	return s
}

// owed returns the asks whose callers did not leave.
func (p *Pool) owed() []*ask {
	var l []*ask
	for _, a := range p.asks {
		if a.leaves.IsZero() {
			l = append(l, a)
		}
	}
	return l
}

// size returns the memory that a needs at its end.
func (p *Pool) size(a *ask) int { return a.prompt + a.answer*p.pattern.EventTokens }

// served returns what the answers of l are worth, of one each.
func (p *Pool) served(l []*ask) float64 {
	return share(l, outcomeInTime) + p.pattern.LateWorth*share(l, outcomeLate)
}

// share returns the part of l that ended with o.
func share(l []*ask, o outcome) float64 {
	var n int
	for _, a := range l {
		if a.outcome == o {
			n++
		}
	}
	return float64(n) / float64(max(1, len(l)))
}

// worst returns what the worst windows were served.
func (p *Pool) worst(l []*ask) float64 {
	m := make([][]*ask, p.pattern.Duration/window)
	for _, a := range l {
		i := min(len(m)-1, int(a.at.Sub(p.start)/window))
		m[i] = append(m[i], a)
	}
	var w []float64
	for _, k := range m {
		if len(k) > 0 {
			w = append(w, p.served(k))
		}
	}
	slices.Sort(w)
	n := max(1, len(w)/worstPart)
	var t float64
	for _, f := range w[:n] {
		t += f
	}
	return t / float64(n)
}

// smallest returns what the kind of work was served that was served least.
func (p *Pool) smallest(l []*ask) float64 {
	m := 1.0
	for k := range p.pattern.Kinds {
		var n []*ask
		for _, a := range l {
			if a.kind == k {
				n = append(n, a)
			}
		}
		if len(n) > 0 {
			m = min(m, p.served(n))
		}
	}
	return m
}

// median returns the median time to the first event.
func median(l []*ask) time.Duration {
	var d []time.Duration
	for _, a := range l {
		if a.events > 0 {
			d = append(d, a.first.Sub(a.at))
		}
	}
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[len(d)/2]
}
