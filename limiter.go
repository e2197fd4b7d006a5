package sardineknot

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"
)

// Limiter enforces the rate limits of contracts across all entry hosts.
type Limiter interface {
	// Admit counts one request against the rate limit of contract. If the limit
	// is reached, it fails with a NotRunError whose RetryAfter is the time
	// until the next request can be admitted.
	Admit(ctx context.Context, contract Contract) error
}

// AccountLimiter keeps the calls of client accounts within their limits, over all
// entry hosts. Implementations are safe for concurrent use.
type AccountLimiter interface {
	// Admit takes cost from the limit of account. It may wait for up to maxWait until
	// the cost has accrued. It fails with a LimitedError if the limit is reached for
	// longer, and with the error of ctx if ctx is done first.
	Admit(ctx context.Context, account *ClientAccount, cost float64, maxWait time.Duration) error
	// Refund gives cost back that was taken for a call which has not run and will not
	// run.
	Refund(account *ClientAccount, cost float64)
}

// AccountLimit returns the limit of the client account with the given name. ok is false
// if c has no such account, or is nil.
func (c *Configuration) AccountLimit(name ClientAccountName) (limit AccountLimit, ok bool) {
	if c == nil {
		return AccountLimit{}, false
	}
	i, ok := slices.BinarySearchFunc(c.Accounts, name, func(a ClientAccount, n ClientAccountName) int { return cmp.Compare(a.Name, n) })
	if !ok {
		return AccountLimit{}, false
	}
	return c.Accounts[i].Limit, true
}

// CostRequest requests cost from the owner of a client account's limit.
type CostRequest struct {
	// Account is the client account, and Limit its limit as the requesting host has
	// it. The owner uses Limit only if its own configuration lacks the account.
	Account ClientAccountName
	Limit   AccountLimit
	// Need is the cost of the current call. Zero means that the request only
	// returns cost.
	Need float64
	// Want is the cost that the requesting host expects to use soon, including Need.
	Want float64
	// Returned is the cost that was granted earlier and is given back.
	Returned float64
	// Deferred is the cost of calls that the requesting host has given a retry time later
	// without asking the owner.
	Deferred float64
	// MaxWait bounds CostGrant.Delay.
	MaxWait time.Duration
	// Whole states that only whole numbers may be granted.
	Whole bool
	// Hops is the number of messages that have carried the request.
	Hops int
	// Temporary is set for a host that grants in place of one which ranks higher, if
	// that one grants nothing only for a short time.
	Temporary bool
}

// CostGrant is the response to a CostRequest.
type CostGrant struct {
	// Granted is zero or at least CostRequest.Need.
	Granted float64
	// Delay is the time after which Granted may be used.
	Delay time.Duration
	// Fits is the time after which a request for the same cost can be granted, if
	// Granted is zero. RetryAfter is at least as long and also leaves room for the
	// calls that were given a retry time before.
	Fits       time.Duration
	RetryAfter time.Duration
}

// CostSource grants cost under the limits of client accounts.
type CostSource interface {
	// Borrow fails with a NotOwnerError if this host may not grant under the limit,
	// and with an UnavailableError if the owner of the limit does not answer.
	Borrow(ctx context.Context, request CostRequest) (CostGrant, error)
}

// Registrations provides the entry hosts as they are registered in the platform's
// key-value service, whether or not they answer this host.
type Registrations interface {
	// Self returns this host.
	Self() EntryHost
	// Registered returns the registered hosts, ordered by ID. The list includes this
	// host once the service has confirmed its registration, and is not modified
	// later. drops is the number of times that the service has dropped the
	// registration of this host.
	Registered() (hosts []EntryHost, drops uint64)
}

// NotOwnerError reports that a host grants nothing under the limit of a client
// account. Another host may grant in its place.
type NotOwnerError struct {
	// Host is the host that is not the owner.
	Host EntryHostID
	// Ended is set if the process of the host has ended or never grants, as one of a
	// version without limits of accounts.
	Ended bool
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("%s does not own the limit", e.Host)
}
