package twirp

import (
	"context"
	"time"
)

const (
	// askDelay is the time after which other hosts are queried for a stream while the
	// changes of the key-value service are still being read.
	askDelay = 50 * time.Millisecond
	// refreshTimeout bounds the time for which these changes are awaited.
	refreshTimeout = time.Second
)

// refresh is a read of the latest changes of the key-value service.
type refresh struct {
	// done is closed at the end of the read, which failed with err.
	done chan struct{}
	err  error
}

// refresh begins to read the changes of the key-value service that have been made until
// now.
func (d *Directory) refresh(ctx context.Context) *refresh {
	f := &refresh{done: make(chan struct{})}
	go func() {
		defer close(f.done)
		f.err = d.readChanges(ctx)
	}()
	return f
}

// readChanges reads the changes of the key-value service that have been made until now.
func (d *Directory) readChanges(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	err := d.Refresh(ctx)
	if err == nil {
		d.observe()
	}
	return err
}

// current waits for the end of the read, which takes at most refreshTimeout, and reports
// whether it succeeded.
func (f *refresh) current() bool {
	<-f.done
	return f.err == nil
}

// currentWithin waits for the end of the read, for at most limit, and reports whether it
// has succeeded by then.
func (f *refresh) currentWithin(limit time.Duration) bool {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-f.done:
		return f.err == nil
	case <-t.C:
		return false
	}
}
