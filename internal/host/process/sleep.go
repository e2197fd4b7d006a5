package process

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// sleep waits for d. It returns the error of ctx if ctx ends before.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}
