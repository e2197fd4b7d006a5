package slotsim

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/bench/workload"
)

// request is a caller's request for an answer. The caller may submit it several
// times, and the router may make several attempts for each submission.
type request struct {
	id        int
	arrivedAt time.Time
	account   sardineknot.ClientAccountName
	// kind is the index of the kind of work.
	kind int
	// prompt and answer are lengths in tokens. prefixes holds the prefix hashes
	// of the prompt.
	prompt   int
	answer   int
	prefixes []uint64
	// cancelAfter is the time after which the caller disconnects early. Zero
	// means that it does not.
	cancelAfter time.Duration
	// attemptCount is the number of attempts so far, over all submissions.
	attemptCount int
	// counted reports whether the request is part of the result.
	counted bool
	// ended reports whether the caller has its answer or has given up.
	ended bool
}

// attempt is one attempt to answer a request. The scheduler handles each
// attempt as a separate job.
type attempt struct {
	request *request
	key     sardineknot.RequestKey
	// resubmissions is the number of times that the caller has submitted the
	// request again before this attempt. retries is the number of earlier
	// attempts that the router made for the same submission. host is the index
	// of the entry host, and startedAt the time of the submission.
	resubmissions int
	retries       int
	host          int
	startedAt     time.Time
	// previousTokens is the number of tokens that earlier attempts delivered.
	// firstTokenAt is the time of the first token of the answer, or zero.
	previousTokens int
	firstTokenAt   time.Time
	// prefill and decode are the engines that hold the attempt, or nil.
	// assignedDecode is the decode engine that the scheduler has assigned, or
	// nil.
	prefill        *prefillEngine
	decode         *decodeEngine
	assignedDecode *decodeEngine
	// prefillTime is the time that a prefill engine spent on the attempt.
	prefillTime time.Duration
	// prefilledAt is the time at which the prefill ended, or zero.
	prefilledAt time.Time
	// cacheUsed reports whether a decode engine has imported the KV cache.
	cacheUsed bool
	// imported reports whether tokens are being generated. position is the
	// position of the decode engine at which the generation began.
	imported bool
	// started reports whether the first token of this attempt was reported.
	started  bool
	position float64
	// prefillZone is the zone of the prefill engine.
	prefillZone sardineknot.AvailabilityZone
	transfer    *transfer
	// orphaned reports whether the entry host of the attempt was killed.
	orphaned bool
	// ended reports whether the attempt has ended.
	ended bool
}

// remainingTokens returns the number of tokens that the attempt has to
// generate, which is at least one.
func (a *attempt) remainingTokens() int { return max(1, a.request.answer-a.previousTokens) }

// promptTokens returns the number of tokens that the attempt has to prefill:
// the prompt and the tokens that earlier attempts delivered.
func (a *attempt) promptTokens() int { return a.request.prompt + a.previousTokens }

// addRequests draws the requests of the run at the given load and sorts them by
// arrival time.
func (s *Simulation) addRequests(random *rand.Rand, load float64) {
	var t float64
	for _, a := range s.workload.Accounts {
		t += a.Weight
	}
	for i, a := range s.workload.Accounts {
		s.addAccountRequests(random, i, s.workload.Capacity()*load*a.Weight/t)
	}
	sort.SliceStable(s.requests, func(i, j int) bool { return s.requests[i].arrivedAt.Before(s.requests[j].arrivedAt) })
	for i, r := range s.requests {
		r.id = i
	}
}

// addAccountRequests draws the requests of the account with the given index.
// rate is the mean number of requests per second, which is exceeded during
// bursts.
func (s *Simulation) addAccountRequests(random *rand.Rand, account int, rate float64) {
	a := s.workload.Accounts[account]
	h, l := rate, rate
	if a.BurstFactor > 1 {
		f := a.BurstLength.Seconds() / a.BurstEvery.Seconds()
		h = rate * a.BurstFactor
		l = max(0, (rate-h*f)/(1-f))
	}
	for t := 0.0; ; {
		t += random.ExpFloat64() / h
		if t > (warmUp + s.duration + drain).Seconds() {
			return
		}
		d := time.Duration(t * float64(time.Second))
		if a.BurstFactor > 1 && d%a.BurstEvery >= a.BurstLength && random.Float64() > l/h {
			continue
		}
		s.requests = append(s.requests, s.newRequest(random, account, s.start.Add(d)))
	}
}

// newRequest draws a request that arrives at the given time, for the account
// with the given index.
func (s *Simulation) newRequest(random *rand.Rand, account int, at time.Time) *request {
	a := s.workload.Accounts[account]
	i := workload.Pick(random, len(s.workload.Kinds), func(i int) float64 { return s.workload.Kinds[i].Weight })
	k := s.workload.Kinds[i]
	r := &request{arrivedAt: at, account: a.Name, kind: i, prompt: k.Prompt(random), answer: k.Answer(random, a.AnswerFactor)}
	if k.Documents > 0 {
		d := k.Document(random)
		t := k.DocumentTokens(d)
		r.prompt += t
		for p := range t / sardineknot.TokensPerMemoryPiece {
			r.prefixes = append(r.prefixes, uint64(i)<<40|uint64(d+1)<<16|uint64(p))
		}
	}
	if random.Float64() < s.workload.CancelShare {
		r.cancelAfter = max(time.Millisecond, time.Duration(random.ExpFloat64()*float64(s.workload.CancelAfter)))
	}
	d := at.Sub(s.start) - warmUp
	r.counted = r.cancelAfter == 0 && d >= 0 && d < s.duration
	return r
}

// submit submits r and starts the first attempt of this submission.
// resubmissions is the number of earlier submissions. submit chooses a live
// entry host at random and schedules the timeout and the early disconnection of
// the caller.
func (s *Simulation) submit(r *request, resubmissions int) {
	h := s.random.IntN(s.workload.EntryHosts)
	if h == s.deadHost {
		h = (h + 1) % s.workload.EntryHosts
	}
	a := &attempt{request: r, resubmissions: resubmissions, host: h, startedAt: s.Now()}
	if resubmissions > 0 {
		s.result.Returns++
	}
	k := s.workload.Kinds[r.kind]
	s.After(time.Duration(s.workload.TimeoutFactor*float64(k.FirstToken)), func() { s.expireAttempt(a) })
	if r.cancelAfter > 0 {
		s.After(r.cancelAfter, func() { s.cancelRequest(r) })
	}
	s.offer(a)
}

// offer submits the attempt to the scheduler as a new job.
func (s *Simulation) offer(a *attempt) {
	r := a.request
	r.attemptCount++
	a.key = sardineknot.RequestKey{Account: r.account, ID: sardineknot.RequestID(fmt.Sprintf("%d/%d", r.id, r.attemptCount))}
	s.attempts[a.key] = a
	k := s.workload.Kinds[r.kind]
	d := a.startedAt.Add(k.FirstToken)
	if a.previousTokens > 0 {
		d = s.Now().Add(k.FirstToken)
	}
	j := sardineknot.Job{
		Key:                a.key,
		Pool:               "model/bench",
		Work:               k.Name,
		Zone:               s.zone(a.host),
		PromptTokens:       a.promptTokens(),
		PrefixHashes:       r.prefixes,
		MaxTokens:          k.MaxTokens,
		Priority:           k.Priority,
		FirstTokenDeadline: d,
		PerToken:           k.PerToken,
		Owner:              sardineknot.EntryHostID(fmt.Sprintf("entry-%d", a.host)),
	}
	s.After(s.messageDelay(), func() {
		if !a.ended {
			s.apply(s.scheduler.Submit(s.Now(), j))
		}
	})
}

// zone returns the zone of the server or entry host with the given index.
func (s *Simulation) zone(index int) sardineknot.AvailabilityZone {
	return s.workload.Zones[index%len(s.workload.Zones)]
}

// resubmitAfter lets the caller of the attempt submit its request again after
// delay, which is extended by random jitter. If MaxResubmissions is reached,
// the request ends instead.
func (s *Simulation) resubmitAfter(a *attempt, delay time.Duration) {
	if a.resubmissions >= s.workload.MaxResubmissions {
		a.request.ended = true
		return
	}
	delay += time.Duration(s.random.Float64() * s.workload.ResubmissionJitter * float64(delay))
	s.After(delay, func() {
		if !a.request.ended {
			s.submit(a.request, a.resubmissions+1)
		}
	})
}
