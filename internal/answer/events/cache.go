package events

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// cacheLifetime is the maximum age of a retained KV cache that a later attempt
// may still use. Engines keep a cache for a few hundred milliseconds.
const cacheLifetime = 350 * time.Millisecond

// promptCache refers to the KV cache that a prefill engine computed for the
// prompt.
type promptCache struct {
	sardineknot.KVCacheReference
	// createdAt is the time at which the prefill completed.
	createdAt time.Time
	// reused reports whether an earlier attempt has already offered the cache
	// to a decode engine.
	reused bool
}

// reuseCache takes over the KV cache that an earlier attempt retained and
// reports whether there was one. A cache older than cacheLifetime is released
// instead.
func (a *attempt) reuseCache() bool {
	c := a.takeRetainedCache()
	if c.Handle == "" {
		return false
	}
	if a.Clock.Now().Sub(c.createdAt) > cacheLifetime {
		a.releaseCache(c.KVCacheReference)
		return false
	}
	c.reused = true
	a.cache = c
	return true
}

// discardCache reports the KV cache of the attempt as lost, after the decode
// engine failed to import it, and releases it.
func (a *attempt) discardCache() {
	n := a.prefill.Name
	if a.cache.reused {
		// The decode engine of the earlier attempt may have consumed the cache,
		// so its loss is no evidence against the prefill engine.
		n = ""
	}
	a.report(sardineknot.JobCacheLost, n)
	a.releaseCache(a.cache.KVCacheReference)
	a.cache = promptCache{}
}

// retainCache keeps the KV cache of the attempt for the next one after the
// decode engine failed with err before it sent a response. It releases the
// cache instead if the engine has probably imported it or the call has ended.
func (a *attempt) retainCache(err error) {
	if a.cache.Handle == "" {
		return
	}
	if errors.Is(err, errSilent) || errors.Is(err, context.DeadlineExceeded) || a.ctx.Err() != nil {
		a.releaseCache(a.cache.KVCacheReference)
		return
	}
	a.releaseRetainedCache()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retainedCache = a.cache
}

// takeRetainedCache returns the retained KV cache, which is no longer retained.
func (s *session) takeRetainedCache() promptCache {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.retainedCache
	s.retainedCache = promptCache{}
	return c
}

// releaseRetainedCache releases the retained KV cache, if any.
func (s *session) releaseRetainedCache() {
	s.releaseCache(s.takeRetainedCache().KVCacheReference)
}

// recordPrefillFailure updates cachedOn after the prefill engine failed with
// err. If the outcome is unknown, the engine has probably computed the KV
// cache, so the next attempt is to prefer this engine. An engine that timed out
// or accepted no connection is not preferred.
func (a *attempt) recordPrefillFailure(err error) {
	var u *sardineknot.UnavailableError
	if errors.As(err, &u) && !errors.Is(err, context.DeadlineExceeded) {
		a.setCachedOn(a.prefill.Name)
		return
	}
	a.setCachedOn("")
}

// setCachedOn sets the prefill engine that probably caches the prompt.
func (s *session) setCachedOn(n sardineknot.BackendServerName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cachedOn = n
}
