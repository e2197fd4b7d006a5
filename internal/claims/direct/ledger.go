// Package direct keeps one key of the platform's service for each claim. It is
// the baseline for grouped claims: one write a request.
package direct

import (
	"context"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const prefix = "sardineknot/claim/"

// Ledger is a sardineknot.ClaimLedger. It is safe for concurrent use.
type Ledger struct {
	store sardineknot.Store
}

var _ sardineknot.ClaimLedger = (*Ledger)(nil)

// NewLedger returns a ledger that keeps its claims in s.
func NewLedger(s sardineknot.Store) *Ledger {
	return &Ledger{store: s}
}

// Claim implements sardineknot.ClaimLedger.
func (l *Ledger) Claim(ctx context.Context, a sardineknot.ClaimAttempt) (sardineknot.ClaimResult, error) {
	v := encode(a)
	_, err := l.store.CompareAndSwap(ctx, prefix+a.Key.String(), 0, []byte(v), 0)
	var c *sardineknot.ConflictError
	if err == nil {
		return result(v, v), nil
	}
	if !errors.As(err, &c) {
		return sardineknot.ClaimResult{}, err
	}
	e, err := l.store.Get(ctx, prefix+a.Key.String())
	if err != nil {
		return sardineknot.ClaimResult{}, err
	}
	return result(string(e.Value), v), nil
}

// Release implements sardineknot.ClaimLedger.
func (l *Ledger) Release(ctx context.Context, a sardineknot.ClaimAttempt) error {
	e, err := l.store.Get(ctx, prefix+a.Key.String())
	if err != nil || string(e.Value) != encode(a) {
		return err
	}
	return l.store.Delete(ctx, e.Key, e.Revision)
}

func encode(a sardineknot.ClaimAttempt) string {
	i := strconv.FormatUint(uint64(a.HolderIncarnation), 10)
	n := strconv.FormatUint(a.Nonce, 10)
	return string(a.Holder) + " " + i + " " + n
}

// result compares the stored claim with the attempt that asks.
func result(stored, attempt string) sardineknot.ClaimResult {
	f := append(strings.Fields(stored), "", "")
	i, _ := strconv.ParseUint(f[1], 10, 64)
	return sardineknot.ClaimResult{
		Granted:           stored == attempt,
		Holder:            sardineknot.EntryHostID(f[0]),
		HolderIncarnation: sardineknot.Incarnation(i),
	}
}
