// Package pulse tells a process that it was paused, so that it can find out
// what others did in the meantime before it acts.
package pulse

import (
	"context"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

// Pulse counts the pauses of this process. It is safe for concurrent use.
type Pulse struct {
	clock sardineknot.Clock
	// limit is the longest time between two looks that is not a pause.
	limit time.Duration

	mu sync.Mutex
	// last is the time of the last look.
	last time.Time
	// pauses counts the pauses so far.
	pauses int
}

// NewPulse returns a pulse that takes a time of more than limit without a look
// for a pause.
func NewPulse(c sardineknot.Clock, limit time.Duration) *Pulse {
	return &Pulse{clock: c, limit: limit, last: c.Now()}
}

// Run looks at the clock several times in each limit until ctx is done.
func (p *Pulse) Run(ctx context.Context) error {
	const looks = 4
	t := time.NewTicker(p.limit / looks)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.Pauses()
		case <-ctx.Done():
			return nil
		}
	}
}

// Pauses returns the number of pauses so far. A pause that has just ended is
// counted.
func (p *Pulse) Pauses() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.clock.Now()
	if n.Sub(p.last) > p.limit {
		p.pauses++
	}
	p.last = n
	return p.pauses
}
