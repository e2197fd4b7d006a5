package owner

import (
	"math"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/limits/bucket"
)

const (
	// meanWeight is the weight of a new cost in the mean cost of an account's calls.
	meanWeight = 1.0 / 16
	// maxRetryAfter bounds the time that callers have to wait because of others
	// that were refused before. Not all of them return.
	maxRetryAfter = 10 * time.Second
	// ratioWeight is the weight of a call in the moving averages of grants. Large calls are
	// starved below starvedRatio of the average of all calls: users need them at least half
	// as often.
	ratioWeight  = 1.0 / 16
	starvedRatio = 0.85
	// smallCall is the cost, relative to the burst, up to which a call is small. overdraft
	// is the debt, relative to the burst, in which small calls are still granted: a large
	// call leaves a debt for some milliseconds, in which small ones would be refused.
	smallCall = 1.0 / 512
	overdraft = 1.0 / 8
	// generousLevel is the part of the burst above which a host gets up to twice what
	// it expects to need, because the account is far below its limit. generousPart
	// bounds the surplus, as a part of the level: a larger one lies unused at the hosts
	// that ask first if calls arrive at all hosts at once.
	generousLevel = 0.5
	generousPart  = 1.0 / 64
	// temporaryMemory is the time after the last grant of a temporary owner for which
	// its bucket stays in use. After that time the owner may have granted meanwhile.
	temporaryMemory = time.Second
	// maxCallSeconds times the rate, and the burst, bound the cost of a single call
	// above one. A larger one would alone exceed the limit of the whole window in which
	// operators measure.
	maxCallSeconds = 8
)

// account is the state of one limit.
type account struct {
	limit  sardineknot.AccountLimit
	bucket bucket.Bucket
	// mean is the mean cost of the recent calls that are not small, or zero
	// before the first.
	mean float64
	// granted is the share of the calls that are granted, and largeGranted that of
	// the calls that cost more than the mean, as moving averages without small calls.
	granted, largeGranted float64
	// deferred holds, as its debt, the cost of the calls that were given a retry time.
	deferred bucket.Bucket
	// temporary is set if the last grant, at time usedAt, was in place of an owner that
	// may grant again without being registered again.
	temporary bool
	usedAt    time.Time
}

// newAccount returns an account whose bucket was empty at time since.
func newAccount(limit sardineknot.AccountLimit, since time.Time) *account {
	return &account{
		limit:    limit,
		bucket:   bucket.NewBucket(limit.PerSecond, limit.Burst, since),
		deferred: bucket.NewBucket(limit.PerSecond, 0, since),
		granted:  1, largeGranted: 1,
	}
}

// lapsed reports whether another host may have granted since the last grant.
func (a *account) lapsed(now time.Time) bool {
	return a.temporary && now.Sub(a.usedAt) > temporaryMemory
}

// resize puts a changed limit in force at once.
func (a *account) resize(limit sardineknot.AccountLimit, now time.Time) {
	if a.limit == limit {
		return
	}
	a.limit = limit
	a.bucket.Resize(limit.PerSecond, limit.Burst, now)
	a.deferred.Resize(limit.PerSecond, 0, now)
}

// borrow answers request at time now.
func (a *account) borrow(request sardineknot.CostRequest, now time.Time) sardineknot.CostGrant {
	a.bucket.Return(max(request.Returned, 0), now)
	a.deferCost(request.Deferred, now)
	if request.Need <= 0 {
		return sardineknot.CostGrant{}
	}
	if request.Need > max(1, maxCallSeconds*a.limit.PerSecond+a.limit.Burst) {
		return sardineknot.CostGrant{Fits: maxRetryAfter, RetryAfter: maxRetryAfter}
	}
	a.recordCost(request.Need)
	w := a.bucket.Wait(a.threshold(request.Need), now)
	a.recordGrant(request.Need, w <= request.MaxWait)
	if w > request.MaxWait {
		return a.refuse(request, now)
	}
	f := a.bucket.Level(now) >= generousLevel*a.limit.Burst
	a.bucket.Take(request.Need, now)
	return sardineknot.CostGrant{Granted: request.Need + a.extra(request, f, now), Delay: w}
}

// recordCost updates the mean cost of calls.
func (a *account) recordCost(cost float64) {
	switch {
	case a.small(cost):
	case a.mean == 0:
		a.mean = cost
	default:
		a.mean += (cost - a.mean) * meanWeight
	}
}

// small reports whether calls of the given cost take so little of the limit that they
// need not wait for larger ones.
func (a *account) small(cost float64) bool { return cost <= smallCall*a.limit.Burst }

// recordGrant updates the shares of calls that are granted.
func (a *account) recordGrant(cost float64, granted bool) {
	if a.small(cost) {
		return
	}
	g := 0.0
	if granted {
		g = 1
	}
	a.granted += (g - a.granted) * ratioWeight
	if cost > a.mean {
		a.largeGranted += (g - a.largeGranted) * ratioWeight
	}
}

// threshold returns the level at which a call of cost need is granted. One that costs more
// than the burst leaves the bucket in debt. While large calls are starved, all calls but
// small ones wait for the level of the mean cost, and larger ones leave a debt: otherwise
// smaller calls would empty the bucket each time before a large one fits.
func (a *account) threshold(need float64) float64 {
	if a.small(need) {
		return need - overdraft*a.limit.Burst
	}
	if a.largeGranted < starvedRatio*a.granted {
		need = a.mean
	}
	return min(need, a.limit.Burst)
}

// refuse returns the time at which a call that does not fit now can be granted, and
// records that it was given a retry time.
func (a *account) refuse(request sardineknot.CostRequest, now time.Time) sardineknot.CostGrant {
	w := a.bucket.Wait(a.threshold(request.Need), now)
	r := w + time.Duration(-a.deferred.Level(now)/a.limit.PerSecond*float64(time.Second))
	a.deferCost(request.Need, now)
	return sardineknot.CostGrant{Fits: w - request.MaxWait, RetryAfter: r}
}

// deferCost records that calls of the given cost were given a retry time.
func (a *account) deferCost(cost float64, now time.Time) {
	m := maxRetryAfter.Seconds()*a.limit.PerSecond + a.deferred.Level(now)
	a.deferred.Take(max(0, min(cost, m)), now)
}

// extra takes cost for later calls from the bucket, as far as it is not in debt.
func (a *account) extra(request sardineknot.CostRequest, generous bool, now time.Time) float64 {
	e := max(request.Want-request.Need, 0)
	l := max(a.bucket.Level(now), 0)
	if generous && !request.Whole {
		e += min(e, l*generousPart)
	}
	e = min(e, l)
	if request.Whole {
		e = math.Floor(e)
	}
	a.bucket.Take(e, now)
	return e
}
