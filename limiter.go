package sardineknot

import (
	"context"
	"time"
)

// Limiter enforces the rate limits of contracts across all entry hosts.
type Limiter interface {
	// Admit counts one request against the rate limit of contract. If the limit
	// is reached, it fails with a NotRunError whose RetryAfter is the time
	// until the next request can be admitted.
	Admit(ctx context.Context, contract Contract) error
}

// Permits is the response to a request for permits under a rate limit.
type Permits struct {
	// Granted is the number of requests that may be admitted.
	Granted int
	// RetryDelay is the time until the next permit is available if Granted is
	// zero.
	RetryDelay time.Duration
}

// PermitSource issues permits under the rate limits of client accounts.
type PermitSource interface {
	// Borrow requests at most want permits under the rate limit of account. In
	// the same call it gives back permits that were granted earlier and not
	// used; unused is their number. It fails with an UnavailableError if the
	// owner of the limit does not answer.
	Borrow(ctx context.Context, account ClientAccountName, want, unused int) (Permits, error)
}

// AccountLimiter keeps the calls of client accounts within their limits, over all
// entry hosts. Implementations are safe for concurrent use.
type AccountLimiter interface {
	// Admit takes cost from the limit of account. It fails with a LimitedError if
	// the limit is reached, and with the error of ctx if ctx is done first. It may
	// wait for a short time.
	Admit(ctx context.Context, account *ClientAccount, cost float64) error
	// Refund gives cost back that was taken for a call which has not run and will not
	// run.
	Refund(account *ClientAccount, cost float64)
}
