package pool

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"sardineknot.example/sardineknot"
)

// outcome is how an ask has ended.
type outcome int

const (
	// outcomeOpen asks have not ended. At the end of a run they are broken.
	outcomeOpen outcome = iota
	outcomeInTime
	outcomeLate
	outcomeRefused
	outcomeBroken
	// outcomeLeft asks were left by their callers early. They are not counted.
	outcomeLeft
)

// ask is what a caller wants.
type ask struct {
	id int
	at time.Time
	// kind is the index of the kind of work.
	kind int
	// prompt is in tokens, answer in events, and hint the caller's estimate of
	// the answer in tokens.
	prompt int
	answer int
	hint   int
	// leaves is the time at which the caller leaves early, or zero.
	leaves time.Time
	// returns counts how often the caller came back, submissions the tries, and
	// runs the answers begun.
	returns     int
	submissions int
	runs        int
	// events is the number of events that the caller has. first and last are the
	// times of the first and the last one, and pause is the longest time between
	// two.
	events int
	first  time.Time
	last   time.Time
	pause  time.Duration
	// preempted tells that the answer was preempted.
	preempted bool
	outcome   outcome
	// try is the present try, or nil.
	try *try
}

// addAsks draws the first asks of the run.
func (p *Pool) addAsks(r *rand.Rand) {
	h := r.Float64()
	for k := range p.pattern.Kinds {
		m := p.pattern.MaxRate(k)
		var t time.Duration
		for {
			t += time.Duration(r.ExpFloat64() / m * float64(time.Second))
			if t > p.pattern.Duration {
				break
			}
			if r.Float64() < p.pattern.Rate(k, t, h)/m {
				p.asks = append(p.asks, p.newAsk(r, k, p.start.Add(t)))
			}
		}
	}
	slices.SortStableFunc(p.asks, func(a, b *ask) int { return a.at.Compare(b.at) })
	for i, a := range p.asks {
		a.id = i
	}
}

func (p *Pool) newAsk(r *rand.Rand, kind int, at time.Time) *ask {
	k := p.pattern.Kinds[kind]
	a := &ask{at: at, kind: kind, prompt: k.Prompt(r), answer: k.Events(r)}
	a.hint = k.Hint(r, a.answer*p.pattern.EventTokens)
	if r.Float64() < p.pattern.LeaveShare {
		a.leaves = at.Add(time.Duration(r.Float64() * float64(p.pattern.LeaveAfter)))
	}
	return a
}

// submit makes the first try of a, or the first after its caller came back.
func (p *Pool) submit(a *ask) {
	if a.returns == 0 {
		p.At(a.at.Add(p.pattern.Patience), func() { p.leave(a, outcomeBroken) })
	}
	if a.returns == 0 && !a.leaves.IsZero() {
		p.At(a.leaves, func() { p.leave(a, outcomeLeft) })
	}
	if a.outcome == outcomeOpen {
		p.try(a)
	}
}

// leave ends a because its caller is gone.
func (p *Pool) leave(a *ask, o outcome) {
	if a.outcome != outcomeOpen {
		return
	}
	a.outcome = o
	if t := a.try; t != nil {
		p.report(t, sardineknot.JobCancelled, "")
		p.drop(t)
	}
}

// refused tells the caller of a to come back after d.
func (p *Pool) refused(a *ask, d time.Duration) {
	a.try = nil
	switch {
	case a.events > 0:
		a.outcome = outcomeBroken
	case a.returns >= p.pattern.Returns:
		a.outcome = outcomeRefused
	default:
		a.returns++
		p.After(d, func() { p.submit(a) })
	}
}

// deliver passes an event on to the caller of a.
func (p *Pool) deliver(a *ask) {
	n := p.Now()
	if a.events == 0 {
		a.first = n
	} else {
		a.pause = max(a.pause, n.Sub(a.last))
	}
	a.events++
	a.last = n
}

// delivered ends a with a whole answer.
func (p *Pool) delivered(a *ask) {
	a.outcome = outcomeLate
	if a.first.Sub(a.at) <= p.pattern.Target && a.pause <= p.pattern.Pause {
		a.outcome = outcomeInTime
	}
}

// job returns the job of the next try of a.
func (p *Pool) job(a *ask) sardineknot.Job {
	k := p.pattern.Kinds[a.kind]
	g := a.events * p.pattern.EventTokens
	j := sardineknot.Job{
		Key:                sardineknot.RequestKey{ID: sardineknot.RequestID(strconv.Itoa(a.id) + "/" + strconv.Itoa(a.submissions))},
		Pool:               "model/bench",
		Work:               k.Name,
		Zone:               p.pattern.Zones[a.id%len(p.pattern.Zones)],
		PrefixHashes:       []uint64{uint64(a.id)},
		PromptTokens:       a.prompt + g,
		MaxTokens:          k.EventsMax*p.pattern.EventTokens - g,
		ExpectedTokens:     max(1, a.hint-g),
		Priority:           1,
		FirstTokenDeadline: a.at.Add(p.pattern.Target),
		CallerDeadline:     a.at.Add(p.pattern.Patience),
		PerToken:           p.pattern.Pause,
	}
	if a.events > 0 {
		j.FirstTokenDeadline = p.Now().Add(resumeTime)
		j.Priority = 0
	}
	return j
}
