// Package clock gives the time of the operating system.
package clock

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// System is a sardineknot.Clock. The zero value is ready to use.
type System struct{}

// Now implements sardineknot.Clock.
func (System) Now() time.Time { return time.Now() }

// Sleep waits for d. It returns the error of ctx if ctx ends before.
func (System) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}
