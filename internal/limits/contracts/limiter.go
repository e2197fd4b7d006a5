// Package contracts keeps requests within the rate limits of contracts, by the
// mechanism for client accounts in general: each request costs one.
package contracts

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// maxWait bounds the time for which a request waits for its limit.
const maxWait = 100 * time.Millisecond

// Limiter is a sardineknot.Limiter. It is safe for concurrent use.
type Limiter struct {
	accounts sardineknot.AccountLimiter
}

var _ sardineknot.Limiter = (*Limiter)(nil)

// NewLimiter returns a limiter that uses a.
func NewLimiter(a sardineknot.AccountLimiter) *Limiter { return &Limiter{accounts: a} }

// Admit implements sardineknot.Limiter. It admits every request of a contract whose
// RequestsPerSecond is not positive.
func (l *Limiter) Admit(ctx context.Context, contract sardineknot.Contract) error {
	if contract.RequestsPerSecond <= 0 {
		return nil
	}
	err := l.accounts.Admit(ctx, &sardineknot.ClientAccount{Name: contract.Account, Limit: contractLimit(contract)}, 1, maxWait)
	var d *sardineknot.LimitedError
	if errors.As(err, &d) {
		return errors.WithStack(&sardineknot.NotRunError{Reason: "limit of " + string(contract.Account) + " is reached", RetryAfter: d.RetryAfter})
	}
	return err
}

// Limits returns a function that looks up the limit of an account in the contracts of
// the configuration that s provides.
func Limits(s sardineknot.ConfigurationSource) func(sardineknot.ClientAccountName) (sardineknot.AccountLimit, bool) {
	return func(n sardineknot.ClientAccountName) (sardineknot.AccountLimit, bool) {
		c, err := s.Current().Contract(n)
		return contractLimit(c), err == nil
	}
}

func contractLimit(contract sardineknot.Contract) sardineknot.AccountLimit {
	return sardineknot.AccountLimit{PerSecond: contract.RequestsPerSecond, Burst: float64(contract.Burst)}
}
