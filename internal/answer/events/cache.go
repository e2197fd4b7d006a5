package events

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// cacheLife is the time for which a KV cache is used again after a try that has
// probably not read it. Engines keep one for some hundred milliseconds.
const cacheLife = 350 * time.Millisecond

// readCache is the KV cache of a prompt.
type readCache struct {
	sardineknot.CacheReference
	// at is the time at which the prompt was read.
	at time.Time
	// reused tells that an earlier try has sent it to an engine.
	reused bool
}

// reuse takes the KV cache that an earlier try has left, and reports whether
// there was one.
func (t *try) reuse() bool {
	c := t.unread
	t.unread = readCache{}
	if c.Handle == "" {
		return false
	}
	if t.Clock.Now().Sub(c.at) > cacheLife {
		t.release(c.CacheReference)
		return false
	}
	c.reused = true
	t.cache = c
	return true
}

// dropCache gives up the KV cache of t, which the decode engine could not read.
func (t *try) dropCache() {
	n := t.prefill.Name
	if t.cache.reused {
		// The earlier try may have read it, so that the loss tells nothing of
		// the prefill engine.
		n = ""
	}
	t.report(sardineknot.JobCacheLost, n)
	t.release(t.cache.CacheReference)
	t.cache = readCache{}
}

// leaveCache leaves the KV cache of t to the next try, or frees it if the decode
// engine, which failed with err before it answered, has probably read it.
func (t *try) leaveCache(err error) {
	if t.cache.Handle == "" {
		return
	}
	if errors.Is(err, errSilent) || errors.Is(err, context.DeadlineExceeded) || t.ctx.Err() != nil {
		t.release(t.cache.CacheReference)
		return
	}
	t.unread = t.cache
}

// keptBy notes whether the prefill engine, which failed with err, has probably
// read the prompt. One that is silent or takes no connections is not asked again.
func (t *try) keptBy(err error) {
	var u *sardineknot.UnavailableError
	t.kept = ""
	if errors.As(err, &u) && !errors.Is(err, context.DeadlineExceeded) {
		t.kept = t.prefill.Name
	}
}
