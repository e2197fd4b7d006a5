package credit

import (
	"math"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/limits/bucket"
)

const (
	// demandTime is the time over which the demand at this host is averaged.
	demandTime = time.Second
	// shareSeconds is the time for which an unused share of the excess is kept, and
	// shareRate the part of the excess that accrues. In any period of shareSeconds a
	// host may use what it has kept and what accrues, which is the excess over such a
	// period.
	shareSeconds = 8
	shareRate    = 0.5
)

// account is the state of one client account on this host.
type account struct {
	// turn is held while a call borrows. Callers get it in the order in which they
	// came, so that only one of them at a time sends a request to the owner and the
	// others wait for its result.
	turn chan struct{}
	// lifetime is Limiter.Lifetime.
	lifetime time.Duration

	mu sync.Mutex
	// limit is the limit that a call had last.
	limit sardineknot.AccountLimit
	// stock is the unused borrowed cost. It may be used until expiresAt.
	stock     float64
	expiresAt time.Time
	// returned is the cost to give back with the next request, and deferred the cost
	// of the calls that were given a retry time since the last request.
	returned, deferred float64
	// waiting is the number of calls that wait for their turn, and queued their cost.
	waiting int
	queued  float64
	// demand is the cost of all calls, each weighted by its age at the time demandAt.
	demand   float64
	demandAt time.Time
	// refusedCost does not fit before refusedUntil. A call that is refused now fits at
	// the time retryAt.
	refusedCost  float64
	refusedUntil time.Time
	retryAt      time.Time
	// lostUntil is the time before which the owner is not queried.
	lostUntil time.Time
	// share is this host's share of the excess, and sharedAt the time of its last use.
	share    bucket.Bucket
	sharedAt time.Time
}

// enter takes cost from the stock, if it holds enough and no other call waits.
// Otherwise the call counts as waiting until prepare or leave is called.
func (a *account) enter(cost float64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decayDemand(now)
	a.demand += cost
	if a.waiting == 0 && a.take(cost, now) {
		return true
	}
	a.waiting++
	a.queued += cost
	return false
}

// leave ends the wait of a call.
func (a *account) leave(cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endWait(cost)
}

func (a *account) endWait(cost float64) {
	a.waiting--
	a.queued -= cost
	if a.waiting == 0 {
		a.queued = 0 // ends the accumulation of rounding errors
	}
}

// take takes cost from the stock, if it is fresh and holds enough.
func (a *account) take(cost float64, now time.Time) bool {
	if a.stock < cost || !now.Before(a.expiresAt) {
		return false
	}
	a.stock -= cost
	return true
}

// prepare ends the wait of a call whose turn it is. It takes cost from the stock, or
// returns the request for it to the owner; otherwise Need is zero. If the owner
// has just refused as much, ok is false and wait is the time until the call fits.
func (a *account) prepare(account *sardineknot.ClientAccount, cost float64, maxWait time.Duration, now time.Time) (q sardineknot.CostRequest, wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endWait(cost)
	if a.take(cost, now) {
		return q, 0, true
	}
	if now.Before(a.refusedUntil) && cost >= a.refusedCost && a.limit == account.Limit {
		a.deferred += cost
		w := min(a.retryAt.Sub(now), maxRetryAfter)
		a.retryAt = a.retryAt.Add(time.Duration(cost / a.limit.PerSecond * float64(time.Second)))
		return q, w, false
	}
	a.limit = account.Limit
	q = a.request(account)
	q.Need, q.MaxWait = cost, maxWait
	q.Want = cost + a.expected(cost, now)
	return q, 0, true
}

// request returns a request that gives back all unused cost.
func (a *account) request(account *sardineknot.ClientAccount) sardineknot.CostRequest {
	q := sardineknot.CostRequest{Account: account.Name, Limit: account.Limit, Returned: a.stock + a.returned, Deferred: a.deferred}
	a.stock, a.returned, a.deferred = 0, 0, 0
	return q
}

// expected returns the cost of the calls that wait, and of those that are expected
// within the lifetime. It leaves the latter out if they are less than one call like
// the one that costs cost, because most of what is borrowed for them is returned.
func (a *account) expected(cost float64, now time.Time) float64 {
	a.decayDemand(now)
	d := a.demand * float64(a.lifetime) / float64(demandTime)
	if d < cost {
		return a.queued
	}
	return max(a.queued, d)
}

// apply records the answer to request, which was sent at time sent. It returns the
// time that the call has to wait.
func (a *account) apply(account *sardineknot.ClientAccount, request sardineknot.CostRequest, grant sardineknot.CostGrant, sent, now time.Time) (time.Duration, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if grant.Granted < request.Need {
		a.returned += grant.Granted
		a.refusedCost, a.refusedUntil, a.retryAt = request.Need, now.Add(grant.Fits), now.Add(grant.RetryAfter)
		return 0, refusal(account, grant.RetryAfter)
	}
	if now.Sub(sent) > a.lifetime {
		// This host was suspended, and the owner has granted the cost to others.
		return 0, refusal(account, 0)
	}
	a.refusedUntil = time.Time{}
	a.stock += grant.Granted - request.Need
	a.expiresAt = sent.Add(a.lifetime)
	return grant.Delay, nil
}

// refund gives cost back, to the stock if it is fresh.
func (a *account) refund(cost float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Before(a.expiresAt) {
		a.stock += cost
	} else {
		a.returned += cost
	}
}

// idle returns the request that gives back unused cost, if there is any and no call
// has come for some time whose request would have given it back.
func (a *account) idle(name sardineknot.ClientAccountName, now time.Time) (request sardineknot.CostRequest, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stock+a.returned <= 0 || a.waiting > 0 || now.Before(a.expiresAt.Add(returnInterval)) || now.Before(a.lostUntil) {
		return request, false
	}
	return a.request(&sardineknot.ClientAccount{Name: name, Limit: a.limit}), true
}

func (a *account) ownerLost(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.lostUntil)
}

func (a *account) loseOwner(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lostUntil = now.Add(retryInterval)
}

// takeShare takes cost from this host's share of the excess. The share is empty when
// the owner is lost first. rate is the share per second.
func (a *account) takeShare(rate, cost float64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	rate *= shareRate
	if now.Sub(a.sharedAt) > shareSeconds*time.Second {
		a.share = bucket.NewBucket(rate, shareSeconds*rate, now)
	}
	a.sharedAt = now
	a.share.Resize(rate, shareSeconds*rate, now)
	if a.share.Level(now) < cost {
		return false
	}
	a.share.Take(cost, now)
	return true
}

// decayDemand reduces the weight of earlier calls.
func (a *account) decayDemand(now time.Time) {
	d := now.Sub(a.demandAt)
	if d <= 0 {
		return
	}
	a.demandAt = now
	a.demand *= math.Exp(-d.Seconds() / demandTime.Seconds())
}
