package allocator

import (
	"math"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// demandTime is the time for which a class of calls or an account that has requested
	// for a place counts as wanting more.
	demandTime = 500 * time.Millisecond
	// useTime is the time in which the use of an account loses half of its weight.
	useTime = time.Second
	// overuse is the factor by which the use of an account may exceed an equal share.
	overuse = 1.25
)

// class is the calls of equal urgency. Smaller numbers are more urgent.
type class struct {
	priority, routePriority int
}

func (c class) before(other class) bool {
	return c.priority < other.priority || c.priority == other.priority && c.routePriority < other.routePriority
}

// account is an account within a class.
type account struct {
	class class
	name  sardineknot.ClientAccountName
}

// usage is the recent use of an account.
type usage struct {
	cost float64
	// at is the time for which cost holds. askedAt is the time of the last request.
	at, askedAt time.Duration
}

// order ranks calls by urgency: priority, priority of the route, and the shares of
// accounts by cost.
type order struct {
	// seen holds the time of the last request of each class.
	seen map[class]time.Duration
	used map[account]*usage
}

func newOrder() order {
	return order{seen: make(map[class]time.Duration), used: make(map[account]*usage)}
}

// level records a request and returns the number of reasons for which others go
// first: calls that are more urgent, and accounts that have had less.
func (o *order) level(now time.Duration, request sardineknot.PlaceRequest) int {
	c := class{request.Priority, request.RoutePriority}
	o.seen[c] = now
	n := 0
	for k, t := range o.seen {
		switch {
		case now-t > demandTime:
			delete(o.seen, k)
		case k.before(c):
			n = 1
		}
	}
	if request.Account != "" && o.exceeds(now, account{c, request.Account}) {
		n++
	}
	return n
}

// exceeds records a request of the account a and reports whether the account has had
// more than its share while others need theirs.
func (o *order) exceeds(now time.Duration, a account) bool {
	u := o.usage(now, a)
	u.askedAt = now
	n, t := 0, 0.0
	for k, v := range o.used {
		if now-v.askedAt > 4*useTime {
			delete(o.used, k)
			continue
		}
		if k.class == a.class && now-v.askedAt <= demandTime {
			n++
			t += v.decayed(now)
		}
	}
	return n > 1 && u.decayed(now) > overuse*t/float64(n)
}

// usage returns the use of an account, and creates it if needed.
func (o *order) usage(now time.Duration, a account) *usage {
	u := o.used[a]
	if u == nil {
		u = &usage{at: now}
		o.used[a] = u
	}
	return u
}

// charge records that the call of request got a place.
func (o *order) charge(now time.Duration, request sardineknot.PlaceRequest) {
	if request.Account == "" {
		return
	}
	u := o.usage(now, account{class{request.Priority, request.RoutePriority}, request.Account})
	u.cost, u.at = u.decayed(now)+request.Cost, now
}

func (u *usage) decayed(now time.Duration) float64 {
	return u.cost * math.Exp2(-float64(now-u.at)/float64(useTime))
}
