// Package era keeps the latest era of the platform's key-value service that a
// process knows of, so that what arrives late from an earlier one is not used.
package era

import (
	"sync/atomic"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// Latest is the latest era that is known. It is safe for concurrent use. The
// zero value is the first era.
type Latest struct {
	era atomic.Int64
}

// Admit records era if it is later than the latest one. It fails with a
// StaleEraError if it is earlier.
func (l *Latest) Admit(era sardineknot.StoreEra) error {
	for {
		k := l.era.Load()
		if int64(era) < k {
			return errors.WithStack(&sardineknot.StaleEraError{Got: era, Latest: sardineknot.StoreEra(k)})
		}
		if l.era.CompareAndSwap(k, int64(era)) {
			return nil
		}
	}
}
