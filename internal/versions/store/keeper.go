package store

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
	"sardineknot.example/sardineknot/internal/versions/history"
)

const (
	// interval is the time between two comparisons of the versions with the keys, and
	// missingInterval that time while a key lacks a version.
	interval        = 500 * time.Millisecond
	missingInterval = 250 * time.Millisecond
	// ownerTime is the time after which the owner of a key that does not exist yet
	// writes it. Other hosts add what is missing after twice that time, spread over the
	// same time again.
	ownerTime = time.Second
	// callTimeout bounds a call to the service.
	callTimeout = time.Second
	// maxPause is the time between two comparisons beyond which this host was paused
	// and has no information about the time between.
	maxPause = 3 * time.Second
)

// Keeper writes and reads the keys. It is safe for concurrent use. All exported
// fields must be set before use.
type Keeper struct {
	// Store is the key-value service.
	Store sardineknot.Store
	// History holds the versions of the servers that this host has seen.
	History *history.History
	// StreamTime returns the longest time for which a caller may return after a
	// stream has begun.
	StreamTime func() time.Duration
	// Ranker selects the host that writes a key, and Self is this host.
	Ranker sardineknot.Ranker
	Self   sardineknot.EntryHostID
	// Refresh waits until History and this keeper reflect all changes that were made
	// before the call. It fails if that takes too long.
	Refresh func(context.Context) error
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Log receives an event for each key that cannot be written or read, and for the
	// begin and the end of each time in which a service is mixed.
	Log zerolog.Logger
	// Metrics receives the numbers of mixed services, of batches written, and of
	// streams found in the service.
	Metrics metrics.Registry

	mu sync.Mutex
	// services holds what the keys of the services list.
	services map[sardineknot.ServiceName]*serviceKey
	// era is the latest era of a key that was read, and committedEra the latest one of
	// which all keys were read. read is set once all keys were read since the start or
	// the last pause.
	// firstEra is the era in which the keys were first read after that, and committedAt the
	// time at which all keys of committedEra were first read.
	era, committedEra, firstEra sardineknot.StoreEra
	committedAt                 time.Time
	read                        bool
	// watchedSince is the time since which this host has observed the servers without
	// a pause, and comparedAt the time of its last comparison. Only Run changes them.
	watchedSince time.Time
	comparedAt   time.Time
	// mixed holds the services that were mixed at the last comparison.
	mixed map[sardineknot.ServiceName]bool

	// wake receives an element when the versions must be compared at once.
	wake chan struct{}

	recorder recorder
	cleaner  cleaner
	lookup   lookup
}

// NewKeeper returns a keeper that has read nothing.
func NewKeeper(clock sardineknot.Clock) *Keeper {
	return &Keeper{Clock: clock, wake: make(chan struct{}, 1)}
}

// Wake makes Run compare the versions with the keys at once.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run keeps the keys up to date until ctx is done. It always returns nil.
func (k *Keeper) Run(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-k.wake:
		case <-ctx.Done():
			return nil
		}
		if k.update(ctx) {
			t.Reset(missingInterval)
		} else {
			t.Reset(interval)
		}
		k.clean(ctx)
	}
}

// update compares the versions with the keys, and writes the keys that this host is
// to write. It reports whether a key lacks a version.
func (k *Keeper) update(ctx context.Context) bool {
	k.checkPause()
	m := false
	for _, s := range k.serviceNames() {
		c := k.compare(s)
		m = m || c.missing
		if c.due && c.removes {
			c = k.confirm(ctx, s)
		}
		if c.due {
			k.write(ctx, s, c)
		}
		k.releaseGone(s)
	}
	k.recordMixed()
	return m
}

// confirm compares the versions of service with the key again, after it has read the
// latest changes: a version must stay while there may be a server of it that this host has
// not read yet.
func (k *Keeper) confirm(ctx context.Context, service sardineknot.ServiceName) comparison {
	err := k.Refresh(ctx)
	if err != nil {
		k.Log.Debug().Stringer("event", sardineknot.LogVersionsNotWritten).Str("key", keyPrefix+string(service)).Err(err).Send()
		return comparison{}
	}
	return k.compare(service)
}

// checkPause begins to observe again if this host was paused, and waits until the keys
// are read again.
func (k *Keeper) checkPause() {
	n := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pausedLocked(n) {
		k.watchedSince = n
		k.read = k.read && k.comparedAt.IsZero()
	}
	k.comparedAt = n
}

// pausedLocked reports whether this host was paused between the last comparison and
// now. The wall clock counts the time for which a host was suspended, the monotonic
// clock does not.
func (k *Keeper) pausedLocked(now time.Time) bool {
	return max(now.Sub(k.comparedAt), now.Round(0).Sub(k.comparedAt.Round(0))) > maxPause
}

// Versions returns the versions of service that may have begun streams whose callers
// can still return, as far as this host has seen them or the key lists them. known
// is false until the keys were read, also after a pause. settled reports whether this
// host has also observed the servers, without a pause, since the oldest such stream
// began.
func (k *Keeper) Versions(service sardineknot.ServiceName) (versions []sardineknot.SoftwareVersion, known, settled bool) {
	l := k.seen(service)
	n, t := k.Clock.Now(), k.StreamTime()
	k.mu.Lock()
	defer k.mu.Unlock()
	if s := k.services[service]; s != nil {
		l = union(l, s.stored)
		l = union(l, s.retained(n, k.watchedSince, t))
	}
	known = k.read && !k.pausedLocked(n)
	return l, known, known && n.Sub(k.watchedSince) > t
}

// Mixed returns the versions of all mixed services, and the era of the key-value
// service.
func (k *Keeper) Mixed() ([]sardineknot.SoftwareVersion, sardineknot.StoreEra) {
	var o []sardineknot.SoftwareVersion
	for _, s := range k.serviceNames() {
		if l, _, _ := k.Versions(s); len(l) > 1 {
			o = union(o, l)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return o, k.committedEra
}

// recordMixed logs which services have become mixed and which no longer are.
func (k *Keeper) recordMixed() {
	m := make(map[sardineknot.ServiceName]bool)
	for _, s := range k.serviceNames() {
		l, _, _ := k.Versions(s)
		if len(l) > 1 {
			m[s] = true
		}
		if m[s] != k.mixed[s] {
			k.Log.Info().Stringer("event", sardineknot.LogVersionsMixed).Str("service", string(s)).Int("versions", len(l)).Bool("mixed", m[s]).Send()
		}
	}
	k.mixed = m
	if len(m) > 0 {
		k.markSegments()
	}
	metrics.GetOrRegisterGauge("mixed_services", k.Metrics).Update(int64(len(m)))
}

// seen returns the versions of service that this host has seen since the oldest
// stream whose caller can return began.
func (k *Keeper) seen(service sardineknot.ServiceName) []sardineknot.SoftwareVersion {
	return k.History.Seen(service, k.Clock.Now().Add(-k.StreamTime()))
}

// owns reports whether this host is the one that writes key.
func (k *Keeper) owns(key string) bool {
	h, ok := k.Ranker.Owner(key)
	return ok && h.ID == k.Self
}

// patience returns the time for which this host leaves the write of key, which it does
// not own, to others.
func (k *Keeper) patience(key string) time.Duration {
	const parts = 256
	n := rendezvous.Weight(key, k.Self) % parts
	return 2*ownerTime + ownerTime*time.Duration(n)/parts
}
