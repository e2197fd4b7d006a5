package memory

import (
	"math"
	"slices"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// lastingTime is the time over which the lasting speed of an engine is averaged.
	// It is many times the length of a disturbance and short enough to follow an
	// engine that has become slow for good.
	lastingTime = 10 * time.Second
	// evidenceTime is the time of observation at which an engine's own speed counts
	// as much as the assumption that it is as fast as others.
	evidenceTime = 5 * time.Second
	// evidenceHalfLife is the time without observations in which half of the
	// evidence is lost, so that an engine that gets no work is tried again.
	evidenceHalfLife = time.Minute
	// maxEvidenceGap limits the evidence that one observation adds.
	maxEvidenceGap = time.Second
	// maxLastingWeight limits the weight of one observation, and maxLastingStep the
	// logarithm of its ratio to the average, after the first firstSamples ones. One
	// disturbance thus changes the average little.
	maxLastingWeight = 0.1
	maxLastingStep   = 0.25
	firstSamples     = 3
	// sameSpeed is the logarithm of the ratio of two speeds up to which they count
	// as equal. It covers the effect of the load of engines.
	sameSpeed = 0.18
	// speedRetention is the time for which the speed of a server that has left is
	// kept.
	speedRetention = 10 * time.Minute
	// typicalInterval is the time between two computations of the median speeds.
	typicalInterval = 100 * time.Millisecond
)

// lasting is a geometric mean of a positive quantity over lastingTime, with the
// time for which it was observed.
type lasting struct {
	value    float64
	count    int
	observed time.Duration
	seenAt   time.Time
}

func (l *lasting) observe(now time.Time, sample float64) {
	if sample <= 0 {
		return
	}
	l.count++
	if l.count == 1 {
		l.value, l.seenAt, l.observed = sample, now, maxEvidenceGap
		return
	}
	d := now.Sub(l.seenAt)
	l.observed = l.evidence(now) + min(d, maxEvidenceGap)
	l.seenAt = now
	s := math.Log(sample / l.value)
	if l.count > firstSamples {
		s = max(-maxLastingStep, min(maxLastingStep, s))
	}
	w := max(1/float64(l.count), min(maxLastingWeight, d.Seconds()/lastingTime.Seconds()))
	l.value *= math.Exp(w * s)
}

// evidence returns the time for which the quantity was observed, less what has
// been forgotten since.
func (l *lasting) evidence(now time.Time) time.Duration {
	d := now.Sub(l.seenAt) - maxEvidenceGap
	if d <= 0 {
		return l.observed
	}
	return time.Duration(float64(l.observed) * math.Exp2(-float64(d)/float64(evidenceHalfLife)))
}

// speeds holds the lasting speeds of a server: the tokens that an answer grows by
// in a second, and the prompt tokens that it reads in a second. They outlive a
// change of role and a restart of the server.
type speeds struct {
	tokens, prompts lasting
	listedAt        time.Time
}

// typicalSpeeds holds the median speeds of the servers. Zero means unknown. The
// speed at which prompts are read has an assumed value until it is known.
type typicalSpeeds struct {
	tokens, prompts float64
}

// relative returns the speed of the server in the given role relative to most
// others. Its own work in that role counts, or, as long as there is little of
// that, its work in the other role.
func (v *speeds) relative(now time.Time, typical typicalSpeeds, role sardineknot.BackendRole) float64 {
	o, r, a, b := &v.tokens, &v.prompts, typical.tokens, typical.prompts
	if role == sardineknot.RolePrefill {
		o, r, a, b = r, o, b, a
	}
	x, y := o.evidence(now), r.evidence(now)
	if x < min(evidenceTime, y) {
		o, x, a = r, y, b
	}
	if a <= 0 || x <= 0 {
		return 1
	}
	c := math.Log(o.value/a) * x.Seconds() / (x + evidenceTime).Seconds()
	if math.Abs(c) < sameSpeed {
		return 1
	}
	return math.Exp(c)
}

// speedsOf returns the speeds of the named server.
func (s *Scheduler) speedsOf(name sardineknot.BackendServerName) *speeds {
	v := s.speeds[name]
	if v == nil {
		v = &speeds{}
		s.speeds[name] = v
	}
	return v
}

// keepSpeeds records that the listed servers are in use, and forgets the speeds of
// those that have left for long.
func (s *Scheduler) keepSpeeds(now time.Time, servers []sardineknot.BackendServer) {
	for _, b := range servers {
		s.speedsOf(b.Name).listedAt = now
	}
	for n, v := range s.speeds {
		if now.Sub(v.listedAt) > speedRetention && s.engines[n] == nil {
			delete(s.speeds, n)
		}
	}
}

// updateTypical updates the median speeds of the servers. Lasting speeds change
// slowly, so that their medians are computed once in typicalInterval.
func (s *Scheduler) updateTypical(now time.Time) {
	s.typicalRate = s.typicalTokenRate()
	if now.Sub(s.typicalAt) < typicalInterval {
		return
	}
	s.typicalAt = now
	s.typical.tokens = s.median(func(v *speeds) *lasting { return &v.tokens })
	s.typical.prompts = s.median(func(v *speeds) *lasting { return &v.prompts })
	if s.typical.prompts == 0 {
		s.typical.prompts = 1 / s.prefillPerToken.value
	}
}

// median returns the median of one of the quantities over the servers for which
// it was observed, or zero.
func (s *Scheduler) median(quantity func(*speeds) *lasting) float64 {
	r := s.rates[:0]
	for _, v := range s.speeds {
		if l := quantity(v); l.count > 0 {
			r = append(r, l.value)
		}
	}
	s.rates = r
	if len(r) == 0 {
		return 0
	}
	slices.Sort(r)
	return r[len(r)/2]
}
