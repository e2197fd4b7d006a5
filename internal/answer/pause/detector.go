// Package pause detects that the process was suspended, for example with its
// virtual machine, so that the process can check what other hosts did in the
// meantime before it acts.
package pause

import (
	"context"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

// Detector counts the pauses of this process. A pause is a gap between two
// readings of the clock that is longer than a threshold. It is safe for
// concurrent use.
type Detector struct {
	clock sardineknot.Clock
	// threshold is the longest gap between two clock readings that does not
	// count as a pause.
	threshold time.Duration

	mu sync.Mutex
	// lastReadAt is the time of the last clock reading.
	lastReadAt time.Time
	// pauses is the number of pauses so far.
	pauses int
}

// NewDetector returns a detector of pauses. A gap of more than threshold
// between two clock readings counts as a pause.
func NewDetector(c sardineknot.Clock, threshold time.Duration) *Detector {
	return &Detector{clock: c, threshold: threshold, lastReadAt: c.Now()}
}

// Run reads the clock several times per threshold until ctx is done. It returns
// nil.
func (d *Detector) Run(ctx context.Context) error {
	const readings = 4
	t := time.NewTicker(d.threshold / readings)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			d.Pauses()
		case <-ctx.Done():
			return nil
		}
	}
}

// Pauses returns the number of pauses so far, including one that has just
// ended.
func (d *Detector) Pauses() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.clock.Now()
	if n.Sub(d.lastReadAt) > d.threshold {
		d.pauses++
	}
	d.lastReadAt = n
	return d.pauses
}
