package memorysim

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"sardineknot.example/sardineknot"
)

// outcome is the outcome of a request.
type outcome int

const (
	// outcomePending marks requests that have not ended. A request that has not
	// ended at the end of a run counts as broken.
	outcomePending outcome = iota
	outcomeInTime
	outcomeLate
	outcomeRefused
	outcomeBroken
	// outcomeDisconnected marks requests whose callers disconnected early. Such
	// requests are not part of the score.
	outcomeDisconnected
)

// request is a caller's request for an answer. The caller may submit it several
// times, and the router may make several attempts for each submission.
type request struct {
	id        int
	arrivedAt time.Time
	// kind is the index of the kind of work.
	kind int
	// prompt is the length of the prompt, in tokens. answer is the length of
	// the answer, in events. hint is the length of the answer that the caller
	// estimates, in tokens.
	prompt int
	answer int
	hint   int
	// disconnectAt is the time at which the caller disconnects early. Zero means
	// that it does not.
	disconnectAt time.Time
	// resubmissions is the number of times that the caller has submitted the
	// request again after a refusal. attemptCount is the number of attempts so
	// far, and runs the number of those that have produced an event.
	resubmissions int
	attemptCount  int
	runs          int
	// events is the number of events that the caller has received. firstEventAt
	// and lastEventAt are the times of the first and the last of these, and
	// longestPause is the longest time between two successive ones.
	events       int
	firstEventAt time.Time
	lastEventAt  time.Time
	longestPause time.Duration
	// preempted reports whether the answer was preempted at least once.
	preempted bool
	outcome   outcome
	// attempt is the current attempt, or nil.
	attempt *attempt
}

// addRequests draws the requests of the run and sorts them by arrival time.
// Arrivals are drawn from a Poisson process with the rate MaxRate, and are kept
// with a probability that lowers this rate to Rate.
func (s *Simulation) addRequests(random *rand.Rand) {
	h := random.Float64()
	for k := range s.pattern.Kinds {
		m := s.pattern.MaxRate(k)
		var t time.Duration
		for {
			t += time.Duration(random.ExpFloat64() / m * float64(time.Second))
			if t > s.pattern.Duration {
				break
			}
			if random.Float64() < s.pattern.Rate(k, t, h)/m {
				s.requests = append(s.requests, s.newRequest(random, k, s.start.Add(t)))
			}
		}
	}
	slices.SortStableFunc(s.requests, func(a, b *request) int { return a.arrivedAt.Compare(b.arrivedAt) })
	for i, r := range s.requests {
		r.id = i
	}
}

// newRequest draws a request that arrives at the given time, for the kind of
// work with the given index.
func (s *Simulation) newRequest(random *rand.Rand, kind int, at time.Time) *request {
	k := s.pattern.Kinds[kind]
	r := &request{arrivedAt: at, kind: kind, prompt: k.Prompt(random), answer: k.Events(random)}
	r.hint = k.Hint(random, r.answer*s.pattern.EventTokens)
	if random.Float64() < s.pattern.DisconnectShare {
		r.disconnectAt = at.Add(time.Duration(random.Float64() * float64(s.pattern.DisconnectWithin)))
	}
	return r
}

// submit starts the first attempt of a submission of r. The first submission
// also schedules the timeout and the early disconnection of the caller.
func (s *Simulation) submit(r *request) {
	if r.resubmissions == 0 {
		s.At(r.arrivedAt.Add(s.pattern.CallerTimeout), func() { s.disconnect(r, outcomeBroken) })
	}
	if r.resubmissions == 0 && !r.disconnectAt.IsZero() {
		s.At(r.disconnectAt, func() { s.disconnect(r, outcomeDisconnected) })
	}
	if r.outcome == outcomePending {
		s.startAttempt(r)
	}
}

// disconnect ends r with the outcome o because the caller has disconnected,
// unless r has ended already.
func (s *Simulation) disconnect(r *request, o outcome) {
	if r.outcome != outcomePending {
		return
	}
	r.outcome = o
	if a := r.attempt; a != nil {
		s.report(a, sardineknot.JobCancelled, "")
		s.remove(a)
	}
}

// handleRefusal ends the current attempt of r, which was refused. The caller
// submits r again after delay, unless it has received events or
// MaxResubmissions is reached.
func (s *Simulation) handleRefusal(r *request, delay time.Duration) {
	r.attempt = nil
	switch {
	case r.events > 0:
		r.outcome = outcomeBroken
	case r.resubmissions >= s.pattern.MaxResubmissions:
		r.outcome = outcomeRefused
	default:
		r.resubmissions++
		s.After(delay, func() { s.submit(r) })
	}
}

// deliverEvent records that the caller of r receives an event.
func (s *Simulation) deliverEvent(r *request) {
	n := s.Now()
	if r.events == 0 {
		r.firstEventAt = n
	} else {
		r.longestPause = max(r.longestPause, n.Sub(r.lastEventAt))
	}
	r.events++
	r.lastEventAt = n
}

// completeAnswer ends r, whose answer is complete, and sets its outcome
// according to the latency targets.
func (s *Simulation) completeAnswer(r *request) {
	r.outcome = outcomeLate
	if r.firstEventAt.Sub(r.arrivedAt) <= s.pattern.FirstEventTarget && r.longestPause <= s.pattern.PauseTarget {
		r.outcome = outcomeInTime
	}
}

// job returns the job of the next attempt of r. The tokens that the caller has
// already received count as part of the prompt.
func (s *Simulation) job(r *request) sardineknot.Job {
	k := s.pattern.Kinds[r.kind]
	g := r.events * s.pattern.EventTokens
	j := sardineknot.Job{
		Key:                sardineknot.RequestKey{ID: sardineknot.RequestID(strconv.Itoa(r.id) + "/" + strconv.Itoa(r.attemptCount))},
		Pool:               "model/bench",
		Work:               k.Name,
		Zone:               s.pattern.Zones[r.id%len(s.pattern.Zones)],
		PrefixHashes:       []uint64{uint64(r.id)},
		PromptTokens:       r.prompt + g,
		MaxTokens:          k.EventsMax*s.pattern.EventTokens - g,
		ExpectedTokens:     max(1, r.hint-g),
		Priority:           1,
		FirstTokenDeadline: r.arrivedAt.Add(s.pattern.FirstEventTarget),
		CallerDeadline:     r.arrivedAt.Add(s.pattern.CallerTimeout),
		PerToken:           s.pattern.PauseTarget,
	}
	if r.events > 0 {
		j.FirstTokenDeadline = s.Now().Add(resumeTarget)
		j.Priority = 0
	}
	return j
}
