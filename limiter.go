package sardineknot

import (
	"context"
	"time"
)

// Limiter enforces the limits of contracts over all entry hosts.
type Limiter interface {
	// Admit counts one request under contract c. It fails with a NotRunError that
	// says when to come back if the limit is reached.
	Admit(ctx context.Context, c Contract) error
}

// Permits is the answer to a request for permits under a limit.
type Permits struct {
	// Granted is the number of requests that may be admitted.
	Granted int
	// Wait is the time until the next permit, if Granted is zero.
	Wait time.Duration
}

// PermitSource gives out permits under the limits of client accounts.
type PermitSource interface {
	// Borrow gives back unused permits and takes up to want new ones. It fails
	// with an UnavailableError if the owner of the limit does not answer.
	Borrow(ctx context.Context, a ClientAccountName, want, unused int) (Permits, error)
}
