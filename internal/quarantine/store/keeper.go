package store

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
)

const (
	// keyPrefix is the prefix of the keys of quarantines.
	keyPrefix = "quarantine/"
	// interval is the time between two comparisons of the known quarantines with
	// the keys of the service.
	interval = time.Second
	// missingInterval is the time between them after a key was missed.
	missingInterval = 250 * time.Millisecond
	// ownerTime is the time that the owner of a key has to write it. After that, other
	// hosts write it, spread over the same time again: the owner may be cut off from
	// the hosts that have found the quarantine.
	ownerTime = time.Second
	// callTimeout bounds a call to the service.
	callTimeout = time.Second
	// maxWrites bounds the writes of one comparison.
	maxWrites = 4
	// maxKeyTraits is the number of traits in a key.
	maxKeyTraits = 8
)

// Keeper writes and reads the keys of quarantines. It is safe for concurrent use.
// All exported fields must be set before use.
type Keeper struct {
	// Store is the key-value service.
	Store sardineknot.Store
	// Quarantines holds the quarantines in force on this host.
	Quarantines sardineknot.QuarantineList
	// Record holds the crashes that this host has learned of.
	Record sardineknot.CrashRecord
	// Ranker selects the host that writes a key, and Self is this host.
	Ranker sardineknot.Ranker
	Self   sardineknot.EntryHostID
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Found receives an element when this host has found a quarantine or a crash that are
	// written at once. Nil means that it waits for the next comparison.
	Found <-chan struct{}
	// Log receives an event for each key that cannot be written or read.
	Log zerolog.Logger

	mu sync.Mutex
	// keys holds the keys of the service, with the strikes of their quarantines.
	keys map[string]storedKey
	// era is the latest era of an applied entry, whatever its key.
	era sardineknot.StoreEra
	// crashes is the state of crashKey.
	crashes storedCrashes
	// crashesMissingSince is the time at which a crash that the value of crashKey lacks was
	// missed first, or zero. Only Run uses it.
	crashesMissingSince time.Time
	// crashesWrittenAt is the time of the last attempt to write crashKey, and crashesDueAt that
	// of the next one, or zero. Only Run uses them.
	crashesWrittenAt, crashesDueAt time.Time
	// crashesFailed is set if that attempt failed. Only Run uses it.
	crashesFailed bool
	// missingSince holds the times at which keys that the service lacks were missed
	// first. Only Run uses it.
	missingSince map[string]time.Time
}

// storedKey is the state of a key of the service.
type storedKey struct {
	revision sardineknot.StoreRevision
	// strikes is Quarantine.Strikes, or zero if the value could not be read.
	strikes int
}

// value is the value of a key.
type value struct {
	// Traits has the name in JSON that hosts of earlier versions of this program read
	// and write.
	Traits  sardineknot.TraitList `json:"Parts"`
	Until   time.Time
	Strikes int
}

// Apply applies a changed entry of the service, and reports whether it is the
// entry of a quarantine or of crashes.
func (k *Keeper) Apply(entry sardineknot.StoreEntry) bool {
	k.learnEra(entry.Revision.Era)
	if entry.Key == crashKey {
		k.applyCrashes(entry)
		return true
	}
	if !strings.HasPrefix(entry.Key, keyPrefix) {
		return false
	}
	var v value
	if entry.Revision.Number != 0 {
		err := json.Unmarshal(entry.Value, &v)
		if err != nil || len(v.Traits) == 0 || v.Strikes <= 0 {
			k.Log.Warn().Stringer("event", sardineknot.LogQuarantineNotRead).Str("key", entry.Key).Err(err).Send()
			v = value{}
		}
	}
	k.mu.Lock()
	if k.keys == nil {
		k.keys = make(map[string]storedKey)
	}
	if entry.Revision.Number == 0 {
		delete(k.keys, entry.Key)
	} else {
		k.keys[entry.Key] = storedKey{revision: entry.Revision, strikes: v.Strikes}
	}
	k.mu.Unlock()
	if v.Strikes > 0 {
		k.Quarantines.AddQuarantine(sardineknot.Quarantine(v))
	}
	return true
}

// Run keeps the keys up to date until ctx is done. It always returns nil.
func (k *Keeper) Run(ctx context.Context) error {
	t := time.NewTimer(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-k.Found:
		case <-ctx.Done():
			return nil
		}
		k.updateQuarantines(ctx)
		k.updateCrashes(ctx)
		t.Reset(k.pause())
	}
}

// pause returns the time until the next comparison, which is shorter while a key has
// been missing for a short time, or crashes are to be written.
func (k *Keeper) pause() time.Duration {
	n := k.Clock.Now()
	if !k.crashesDueAt.IsZero() {
		return max(0, min(interval, k.crashesDueAt.Sub(n)))
	}
	for _, t := range append(slices.Collect(maps.Values(k.missingSince)), k.crashesMissingSince) {
		if n.Sub(t) < 3*ownerTime {
			return missingInterval
		}
	}
	return interval
}

// updateQuarantines writes the quarantines that the service lacks and deletes those that are
// no longer known, as far as this host is the one to do so.
func (k *Keeper) updateQuarantines(ctx context.Context) {
	l := make(map[string]bool)
	m := make(map[string]time.Time)
	t := k.Clock.Now()
	n := 0
	for _, q := range k.Quarantines.Quarantines() {
		s := key(q)
		l[s] = true
		o := k.stored(s)
		if o.strikes >= q.Strikes || q.Until.Before(t) {
			continue
		}
		m[s] = t
		if b, ok := k.missingSince[s]; ok {
			m[s] = b
		}
		if n >= maxWrites || !k.owns(s) && t.Sub(m[s]) < k.patience(s) {
			continue
		}
		n++
		_, _ = k.writeValue(ctx, s, o.revision, value(q)) // repeated with the next comparison
	}
	k.missingSince = m
	for s, o := range k.allStored() {
		if !l[s] && n < maxWrites && k.owns(s) {
			n++
			k.remove(ctx, s, o.revision)
		}
	}
}

// writeValue writes v, in JSON, under key, whose known revision is revision. It returns
// the revision of the write. An error is logged.
func (k *Keeper) writeValue(ctx context.Context, key string, revision sardineknot.StoreRevision, v any) (sardineknot.StoreRevision, error) {
	var n sardineknot.StoreRevision
	b, err := json.Marshal(v)
	if err == nil {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		n, err = k.Store.CompareAndSwap(c, key, k.inEra(revision), b, sardineknot.LeaseID{})
	}
	k.logFailure(key, err)
	return n, err
}

// remove deletes key, whose known revision is revision.
func (k *Keeper) remove(ctx context.Context, key string, revision sardineknot.StoreRevision) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.logFailure(key, k.Store.Delete(ctx, key, k.inEra(revision)))
}

// learnEra records that an entry of era was applied.
func (k *Keeper) learnEra(era sardineknot.StoreEra) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.era = max(k.era, era)
}

// inEra returns revision or, if it is of an earlier era than the latest one, the revision of
// an absent key: the service accepts revisions of the latest era only.
func (k *Keeper) inEra(revision sardineknot.StoreRevision) sardineknot.StoreRevision {
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision.Era < k.era {
		return sardineknot.StoreRevision{Era: k.era}
	}
	return revision
}

// logFailure logs err, with which a write of key failed, unless it is nil or
// another write came first. The write is repeated with the next comparison.
func (k *Keeper) logFailure(key string, err error) {
	var c *sardineknot.ConflictError
	if err != nil && !errors.As(err, &c) {
		k.Log.Warn().Stringer("event", sardineknot.LogQuarantineNotWritten).Str("key", key).Err(err).Send()
	}
}

// stored returns what is known of key.
func (k *Keeper) stored(key string) storedKey {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keys[key]
}

// allStored returns the known keys.
func (k *Keeper) allStored() map[string]storedKey {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := make(map[string]storedKey, len(k.keys))
	for s, o := range k.keys {
		m[s] = o
	}
	return m
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
	return ownerTime + ownerTime*time.Duration(n)/parts
}

// key returns the key of quarantine. Keys are limited in length, and the first
// traits identify a quarantine well enough: the value holds all.
func key(quarantine sardineknot.Quarantine) string {
	return keyPrefix + quarantine.Traits[:min(len(quarantine.Traits), maxKeyTraits)].String()
}
