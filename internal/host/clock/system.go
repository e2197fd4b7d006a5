// Package clock provides the clock of the operating system.
package clock

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// System implements sardineknot.Clock. The zero value is ready to use.
type System struct{}

// Now implements sardineknot.Clock.
func (System) Now() time.Time { return time.Now() }

// Sleep waits for duration. If ctx is done first, it returns the error of ctx.
func (System) Sleep(ctx context.Context, duration time.Duration) error {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}
