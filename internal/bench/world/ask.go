package world

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/bench/workload"
)

// ask is what a caller wants.
type ask struct {
	id      int
	at      time.Time
	account sardineknot.ClientAccountName
	// kind is the index of the kind of work.
	kind     int
	prompt   int
	answer   int
	prefixes []uint64
	// cancelAfter is the time after which the caller disconnects of its own
	// accord. Zero means never.
	cancelAfter time.Duration
	// submissions counts the tries.
	submissions int
	// counted tells that the ask is part of the result.
	counted bool
	// ended tells that the caller has its answer or has given up.
	ended bool
}

// try is one job of an ask.
type try struct {
	ask *ask
	key sardineknot.RequestKey
	// returns and attempt count the caller's returns and the router's attempts
	// before this try.
	returns int
	attempt int
	host    int
	began   time.Time
	// prior is the number of tokens that earlier attempts delivered, and first
	// the time of the first token, or zero.
	prior int
	first time.Time
	// prefill and decode are the engines that the try is on, or nil, and next
	// is the one that was decided for it.
	prefill *prefillEngine
	decode  *decodeEngine
	next    *decodeEngine
	// work is the time that a prefill engine worked for the try.
	work time.Duration
	// prefilled is the end of the prefill, or zero.
	prefilled time.Time
	// used tells that the result of the prefill was read.
	used bool
	// imported tells that tokens are generated, from position on.
	imported bool
	// started tells that the first token of this try was reported.
	started  bool
	position float64
	// from is the zone of the prefill engine.
	from     sardineknot.AvailabilityZone
	transfer *transfer
	// orphan tells that the entry host of the try is dead.
	orphan bool
	// ended tells that nothing of the try goes on.
	ended bool
}

// left returns the number of tokens that t generates.
func (t *try) left() int { return max(1, t.ask.answer-t.prior) }

// promptTokens returns the length of t's prompt with the tokens so far.
func (t *try) promptTokens() int { return t.ask.prompt + t.prior }

// addAsks draws the first asks of the run.
func (w *World) addAsks(r *rand.Rand, load float64) {
	var t float64
	for _, a := range w.workload.Accounts {
		t += a.Weight
	}
	for i, a := range w.workload.Accounts {
		w.addAccount(r, i, w.workload.Capacity()*load*a.Weight/t)
	}
	sort.SliceStable(w.asks, func(i, j int) bool { return w.asks[i].at.Before(w.asks[j].at) })
	for i, a := range w.asks {
		a.id = i
	}
}

// addAccount draws the asks of account i. The rate is higher in bursts.
func (w *World) addAccount(r *rand.Rand, i int, rate float64) {
	a := w.workload.Accounts[i]
	h, l := rate, rate
	if a.BurstFactor > 1 {
		s := a.BurstLength.Seconds() / a.BurstEvery.Seconds()
		h = rate * a.BurstFactor
		l = max(0, (rate-h*s)/(1-s))
	}
	for t := 0.0; ; {
		t += r.ExpFloat64() / h
		if t > (warmUp + w.duration + drain).Seconds() {
			return
		}
		d := time.Duration(t * float64(time.Second))
		if a.BurstFactor > 1 && d%a.BurstEvery >= a.BurstLength && r.Float64() > l/h {
			continue
		}
		w.asks = append(w.asks, w.newAsk(r, i, w.start.Add(d)))
	}
}

func (w *World) newAsk(r *rand.Rand, account int, at time.Time) *ask {
	a := w.workload.Accounts[account]
	i := workload.Pick(r, len(w.workload.Kinds), func(i int) float64 { return w.workload.Kinds[i].Weight })
	k := w.workload.Kinds[i]
	n := &ask{at: at, account: a.Name, kind: i, prompt: k.Prompt(r), answer: k.Answer(r, a.Length)}
	if k.Documents > 0 {
		d := k.Document(r)
		t := k.DocumentTokens(d)
		n.prompt += t
		for p := range t / sardineknot.TokensPerMemoryPiece {
			n.prefixes = append(n.prefixes, uint64(i)<<40|uint64(d+1)<<16|uint64(p))
		}
	}
	if r.Float64() < w.workload.CancelShare {
		n.cancelAfter = max(time.Millisecond, time.Duration(r.ExpFloat64()*float64(w.workload.CancelAfter)))
	}
	d := at.Sub(w.start) - warmUp
	n.counted = n.cancelAfter == 0 && d >= 0 && d < w.duration
	return n
}

// submit offers a to the scheduler again.
func (w *World) submit(a *ask, returns int) {
	h := w.random.IntN(w.workload.EntryHosts)
	if h == w.dead {
		h = (h + 1) % w.workload.EntryHosts
	}
	t := &try{ask: a, returns: returns, host: h, began: w.Now()}
	if returns > 0 {
		w.result.Returns++
	}
	k := w.workload.Kinds[a.kind]
	w.After(time.Duration(w.workload.Patience*float64(k.FirstToken)), func() { w.losePatience(t) })
	if a.cancelAfter > 0 {
		w.After(a.cancelAfter, func() { w.cancelAsk(a) })
	}
	w.offer(t)
}

// offer gives t to the scheduler.
func (w *World) offer(t *try) {
	a := t.ask
	a.submissions++
	t.key = sardineknot.RequestKey{Account: a.account, ID: sardineknot.RequestID(fmt.Sprintf("%d/%d", a.id, a.submissions))}
	w.tries[t.key] = t
	k := w.workload.Kinds[a.kind]
	d := t.began.Add(k.FirstToken)
	if t.prior > 0 {
		d = w.Now().Add(k.FirstToken)
	}
	j := sardineknot.Job{
		Key:                t.key,
		Pool:               "model/bench",
		Work:               k.Name,
		Zone:               w.zone(t.host),
		PromptTokens:       t.promptTokens(),
		PrefixHashes:       a.prefixes,
		MaxTokens:          k.MaxTokens,
		Priority:           k.Priority,
		FirstTokenDeadline: d,
		PerToken:           k.PerToken,
		Owner:              sardineknot.EntryHostID(fmt.Sprintf("entry-%d", t.host)),
	}
	w.After(w.hop(), func() {
		if !t.ended {
			w.decided(w.scheduler.Submit(w.Now(), j))
		}
	})
}

func (w *World) zone(i int) sardineknot.AvailabilityZone {
	return w.workload.Zones[i%len(w.workload.Zones)]
}

// comeBack lets the caller of t ask again after d.
func (w *World) comeBack(t *try, d time.Duration) {
	if t.returns >= w.workload.Returns {
		t.ask.ended = true
		return
	}
	d += time.Duration(w.random.Float64() * w.workload.ReturnJitter * float64(d))
	w.After(d, func() {
		if !t.ask.ended {
			w.submit(t.ask, t.returns+1)
		}
	})
}
