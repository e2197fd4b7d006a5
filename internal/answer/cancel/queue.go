// Package cancel frees what engines hold for requests that nobody wants any
// more. It repeats each cancellation until the engine confirms it.
//
// The cancellations that wait are bounded in number and time. What is given up
// is left to the owner of the engine's slots, which cancels what engines hold
// for jobs that have ended.
package cancel

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
)

const (
	// maxPending bounds the cancellations that wait.
	maxPending = 4096
	// tries bounds the calls for one cancellation. With the pauses between
	// firstPause and maxPause they take about a minute.
	tries      = 60
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
)

// Queue holds cancellations. It is safe for concurrent use. All exported
// fields are set before use.
type Queue struct {
	// Self is the identifier of this entry host.
	Self sardineknot.EntryHostID
	// Engine calls engines.
	Engine sardineknot.Engine
	// Log takes one event for each cancellation that is given up.
	Log zerolog.Logger

	mu sync.Mutex
	// pending holds one entry for each cancellation that waits.
	pending map[item]bool
}

type item struct {
	server sardineknot.BackendServerName
	key    string
}

// Cancel frees what s holds under key, in the background. If checked is set, a
// request that the engine holds for another entry host is left alone. done is
// called when the engine has confirmed or the cancellation is given up.
func (q *Queue) Cancel(s sardineknot.BackendServer, key string, checked bool, done func()) {
	i := item{s.Name, key}
	if !q.add(i) {
		done()
		return
	}
	go func() {
		defer done()
		defer q.remove(i)
		q.repeat(s, key, checked)
	}()
}

// Pending returns the number of cancellations that wait.
func (q *Queue) Pending() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending)
}

func (q *Queue) repeat(s sardineknot.BackendServer, key string, checked bool) {
	p := firstPause
	for range tries {
		err := q.once(s, key, checked)
		if err == nil {
			return
		}
		time.Sleep(p)
		p = min(2*p, maxPause)
	}
	q.Log.Error().Stringer("event", sardineknot.LogCancelGivenUp).Str("server", string(s.Name)).Str("request", key).Send()
}

func (q *Queue) once(s sardineknot.BackendServer, key string, checked bool) error {
	ctx := context.Background()
	if !checked {
		return q.Engine.Cancel(ctx, s, key)
	}
	l, err := q.Engine.Held(ctx, s)
	if err != nil {
		return err
	}
	for _, h := range l {
		if h.EngineKey == key && h.Owner == q.Self {
			return q.Engine.Cancel(ctx, s, key)
		}
	}
	return nil
}

func (q *Queue) add(i item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending[i] || len(q.pending) >= maxPending {
		return false
	}
	if q.pending == nil {
		q.pending = make(map[item]bool)
	}
	q.pending[i] = true
	return true
}

func (q *Queue) remove(i item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, i)
}
