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
	// outcomePending marks requests that have not ended. Those that have not
	// ended at the end of a run count as broken.
	outcomePending outcome = iota
	outcomeInTime
	outcomeLate
	outcomeRefused
	outcomeBroken
	// outcomeDisconnected marks requests whose callers disconnected early. They
	// are not part of the score.
	outcomeDisconnected
)

// request is a caller's request for an answer. The caller may submit it several
// times, and the router may make several attempts for each submission.
type request struct {
	id int
	at time.Time
	// kind is the index of the kind of work.
	kind int
	// prompt is the length of the prompt in tokens, and answer that of the
	// answer in events. hint is the caller's estimate of the length of the
	// answer, in tokens.
	prompt int
	answer int
	hint   int
	// disconnectAt is the time at which the caller disconnects early. Zero means
	// that it does not.
	disconnectAt time.Time
	// returns is the number of times that the caller has submitted the request
	// again after a refusal, submissions the number of attempts, and runs the
	// number of attempts that have produced an event.
	returns     int
	submissions int
	runs        int
	// events is the number of events that the caller has received. firstEventAt
	// and lastEventAt are the times of the first and the last one, and
	// longestPause is the longest time between two.
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

// addRequests draws the requests of the run and sorts them by arrival time. It
// thins a Poisson process of rate MaxRate to the rate at each time.
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
	slices.SortStableFunc(s.requests, func(a, b *request) int { return a.at.Compare(b.at) })
	for i, r := range s.requests {
		r.id = i
	}
}

func (s *Simulation) newRequest(random *rand.Rand, kind int, at time.Time) *request {
	k := s.pattern.Kinds[kind]
	r := &request{at: at, kind: kind, prompt: k.Prompt(random), answer: k.Events(random)}
	r.hint = k.Hint(random, r.answer*s.pattern.EventTokens)
	if random.Float64() < s.pattern.DisconnectShare {
		r.disconnectAt = at.Add(time.Duration(random.Float64() * float64(s.pattern.DisconnectWithin)))
	}
	return r
}

// submit starts the first attempt of r, or the first one after its caller has
// submitted it again. The first submission also schedules the caller's timeout
// and its early disconnection.
func (s *Simulation) submit(r *request) {
	if r.returns == 0 {
		s.At(r.at.Add(s.pattern.CallerTimeout), func() { s.disconnect(r, outcomeBroken) })
	}
	if r.returns == 0 && !r.disconnectAt.IsZero() {
		s.At(r.disconnectAt, func() { s.disconnect(r, outcomeDisconnected) })
	}
	if r.outcome == outcomePending {
		s.attempt(r)
	}
}

// disconnect ends r with outcome o because its caller has disconnected, unless r
// has ended already.
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
// submits r again after delay, unless it has received events or has no
// submissions left.
func (s *Simulation) handleRefusal(r *request, delay time.Duration) {
	r.attempt = nil
	switch {
	case r.events > 0:
		r.outcome = outcomeBroken
	case r.returns >= s.pattern.MaxResubmissions:
		r.outcome = outcomeRefused
	default:
		r.returns++
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
	if r.firstEventAt.Sub(r.at) <= s.pattern.FirstEventTarget && r.longestPause <= s.pattern.PauseTarget {
		r.outcome = outcomeInTime
	}
}

// job returns the job of the next attempt of r. The tokens that the caller has
// received count as part of its prompt.
func (s *Simulation) job(r *request) sardineknot.Job {
	k := s.pattern.Kinds[r.kind]
	g := r.events * s.pattern.EventTokens
	j := sardineknot.Job{
		Key:                sardineknot.RequestKey{ID: sardineknot.RequestID(strconv.Itoa(r.id) + "/" + strconv.Itoa(r.submissions))},
		Pool:               "model/bench",
		Work:               k.Name,
		Zone:               s.pattern.Zones[r.id%len(s.pattern.Zones)],
		PrefixHashes:       []uint64{uint64(r.id)},
		PromptTokens:       r.prompt + g,
		MaxTokens:          k.EventsMax*s.pattern.EventTokens - g,
		ExpectedTokens:     max(1, r.hint-g),
		Priority:           1,
		FirstTokenDeadline: r.at.Add(s.pattern.FirstEventTarget),
		CallerDeadline:     r.at.Add(s.pattern.CallerTimeout),
		PerToken:           s.pattern.PauseTarget,
	}
	if r.events > 0 {
		j.FirstTokenDeadline = s.Now().Add(resumeTarget)
		j.Priority = 0
	}
	return j
}
