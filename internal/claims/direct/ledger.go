// Package direct implements a ledger that stores each claim under its own key
// in the platform's key-value service. It needs one write per request and
// serves as the baseline for ledgers that group claims.
package direct

import (
	"context"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const keyPrefix = "sardineknot/claim/"

// Ledger is a sardineknot.ClaimLedger that stores one key for each claim. It is
// safe for concurrent use.
type Ledger struct {
	store sardineknot.Store
}

var _ sardineknot.ClaimLedger = (*Ledger)(nil)

// NewLedger returns a ledger that stores its claims in s.
func NewLedger(s sardineknot.Store) *Ledger {
	return &Ledger{store: s}
}

// Claim implements sardineknot.ClaimLedger.
func (l *Ledger) Claim(ctx context.Context, attempt sardineknot.ClaimAttempt) (sardineknot.ClaimResult, error) {
	v := encode(attempt)
	_, err := l.store.CompareAndSwap(ctx, keyPrefix+attempt.Key.String(), sardineknot.StoreRevision{}, []byte(v), sardineknot.LeaseID{})
	var c *sardineknot.ConflictError
	if err == nil {
		return result(v, v), nil
	}
	if !errors.As(err, &c) {
		return sardineknot.ClaimResult{}, err
	}
	e, err := l.store.Get(ctx, keyPrefix+attempt.Key.String())
	if err != nil {
		return sardineknot.ClaimResult{}, err
	}
	return result(string(e.Value), v), nil
}

// Release implements sardineknot.ClaimLedger.
func (l *Ledger) Release(ctx context.Context, attempt sardineknot.ClaimAttempt) error {
	e, err := l.store.Get(ctx, keyPrefix+attempt.Key.String())
	if err != nil || string(e.Value) != encode(attempt) {
		return err
	}
	return l.store.Delete(ctx, e.Key, e.Revision)
}

// encode returns the value to store for a claim that attempt holds.
func encode(attempt sardineknot.ClaimAttempt) string {
	i := strconv.FormatUint(uint64(attempt.HolderIncarnation), 10)
	n := strconv.FormatUint(attempt.Nonce, 10)
	return string(attempt.Holder) + " " + i + " " + n
}

// result returns the result of attempt, given the value that is stored for the
// claim. Both arguments have the format of encode.
func result(stored, attempt string) sardineknot.ClaimResult {
	f := append(strings.Fields(stored), "", "")
	i, _ := strconv.ParseUint(f[1], 10, 64)
	return sardineknot.ClaimResult{
		Granted:           stored == attempt,
		Holder:            sardineknot.EntryHostID(f[0]),
		HolderIncarnation: sardineknot.Incarnation(i),
	}
}
