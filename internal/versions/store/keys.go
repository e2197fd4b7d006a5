package store

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// keyPrefix is the prefix of the keys of services.
	keyPrefix = "versions/"
	// unreadable represents the versions under a key that cannot be read. No server
	// has it, so that the service is mixed until the key is written again.
	unreadable sardineknot.SoftwareVersion = "(unreadable)"
	// unknownEra is before all eras.
	unknownEra sardineknot.StoreEra = -1
)

// value is the value of the key of a service. Builds before this one read and write
// Versions only.
type value struct {
	// Versions lists the versions that may have begun streams which can still be resumed.
	Versions []sardineknot.SoftwareVersion
	// Established lists those of Versions that were listed for copyAge before, or in the
	// first value of the key.
	Established []sardineknot.SoftwareVersion `json:",omitempty"`
	// Era is the latest era for which Versions is known to be complete, or unknownEra. In a
	// later one, what was written before the key-value service was restored may be lost. It
	// is nil in a value of an earlier build, which takes Versions as complete always.
	Era *sardineknot.StoreEra
}

// serviceKey is what this host has recorded of the key of a service.
type serviceKey struct {
	revision sardineknot.StoreRevision
	// stored holds the versions that the key lists. It is empty if there is no key.
	stored []sardineknot.SoftwareVersion
	// established holds the versions that the key lists as established, or has listed so
	// before the service lost it, and storedEstablished those that it lists now.
	established, storedEstablished []sardineknot.SoftwareVersion
	// completeIn is the era for which the key lists all versions, or unknownEra. It is nil if
	// an earlier build has written the key.
	completeIn *sardineknot.StoreEra
	// withheldSince holds the time since which a version is withheld.
	withheldSince map[sardineknot.SoftwareVersion]time.Time
	// since holds the time at which this host first read each version that the key
	// lists, or has listed before the service lost it.
	since map[sardineknot.SoftwareVersion]time.Time
	// missingSince is the time since which the key lacks a version, or zero.
	missingSince time.Time
}

// comparison is the result of a comparison of the versions of a service with its
// key.
type comparison struct {
	// missing reports whether the key lacks a version, and due whether this host must
	// write versions under the key. The key is deleted if there are none.
	missing, due bool
	versions     []sardineknot.SoftwareVersion
	// established lists the versions to be written as established, and completeIn is the
	// era for which versions is complete.
	established []sardineknot.SoftwareVersion
	completeIn  sardineknot.StoreEra
	// removes reports whether the key lists a version that versions lacks.
	removes bool
	// revision is the known revision of the key.
	revision sardineknot.StoreRevision
}

// retained returns the versions that were read so recently that streams of theirs
// may still be resumed, to the knowledge of a host that observes servers since
// watchedSince.
func (s *serviceKey) retained(now, watchedSince time.Time, streamTime time.Duration) []sardineknot.SoftwareVersion {
	var l []sardineknot.SoftwareVersion
	for v, t := range s.since {
		if watchedSince.After(t) && slices.Contains(s.stored, v) {
			t = watchedSince
		}
		if now.Sub(t) <= streamTime {
			l = append(l, v)
		}
	}
	return l
}

// replace records that the key has the value v at revision, and reports whether that
// is new. A version that the key no longer lists was removed by its owner, unless
// the service has lost the key or was restored from an older copy.
func (s *serviceKey) replace(now time.Time, revision sardineknot.StoreRevision, v value) bool {
	if revision.Era < s.revision.Era || !revision.Absent() && revision.Compare(s.revision) <= 0 {
		return false
	}
	if !revision.Absent() && !s.revision.Absent() && revision.Era == s.revision.Era {
		maps.DeleteFunc(s.since, func(o sardineknot.SoftwareVersion, _ time.Time) bool { return !slices.Contains(v.Versions, o) })
		s.established = slices.DeleteFunc(s.established, func(o sardineknot.SoftwareVersion) bool { return !slices.Contains(v.Versions, o) })
	}
	for _, o := range v.Versions {
		if !slices.Contains(s.stored, o) {
			s.since[o] = now
		}
	}
	s.revision, s.stored = revision, v.Versions
	s.storedEstablished, s.completeIn = v.Established, v.Era
	s.established = union(s.established, v.Established)
	return true
}

// Apply applies a changed entry of the service, and reports whether it is one that
// other hosts must read too.
func (k *Keeper) Apply(entry sardineknot.StoreEntry) bool {
	if strings.HasPrefix(entry.Key, segmentPrefix) && !entry.Revision.Absent() {
		k.markSegments()
	}
	n, ok := strings.CutPrefix(entry.Key, keyPrefix)
	if !ok {
		return false
	}
	var v value
	if !entry.Revision.Absent() {
		err := json.Unmarshal(entry.Value, &v)
		if err != nil || len(v.Versions) == 0 {
			k.Log.Warn().Stringer("event", sardineknot.LogVersionsNotRead).Str("key", entry.Key).Err(err).Send()
			v = value{Versions: []sardineknot.SoftwareVersion{unreadable}}
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.era = max(k.era, entry.Revision.Era)
	k.serviceLocked(sardineknot.ServiceName(n)).replace(k.Clock.Now(), entry.Revision, v)
	return true
}

// Commit records that all entries up to revision were applied. It reports whether
// they are the first ones, or the first ones of an era.
func (k *Keeper) Commit(revision sardineknot.StoreRevision) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := !k.read || revision.Era > k.committedEra
	if !k.read {
		k.firstEra = revision.Era
	}
	if n {
		k.committedAt = k.Clock.Now()
	}
	k.era, k.read = max(k.era, revision.Era), true
	k.committedEra = max(k.committedEra, revision.Era)
	return n
}

func (k *Keeper) serviceLocked(name sardineknot.ServiceName) *serviceKey {
	if k.services == nil {
		k.services = make(map[sardineknot.ServiceName]*serviceKey)
	}
	s := k.services[name]
	if s == nil {
		s = &serviceKey{since: make(map[sardineknot.SoftwareVersion]time.Time), withheldSince: make(map[sardineknot.SoftwareVersion]time.Time)}
		k.services[name] = s
	}
	return s
}

// serviceNames returns the services that have had servers or a key.
func (k *Keeper) serviceNames() []sardineknot.ServiceName {
	l := k.History.Services()
	k.mu.Lock()
	defer k.mu.Unlock()
	l = slices.AppendSeq(l, maps.Keys(k.services))
	slices.Sort(l)
	return slices.Compact(l)
}

// compare compares the versions of service with its key. The owner of the key
// replaces what it lists; another host only adds to it, and later.
func (k *Keeper) compare(service sardineknot.ServiceName) comparison {
	w := k.seen(service)
	n := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.read {
		return comparison{}
	}
	s := k.serviceLocked(service)
	w = union(w, s.retained(n, k.watchedSince, k.StreamTime()))
	if len(w) == 1 && w[0] == "" {
		// Servers without versions need no key.
		w = nil
	}
	c := k.missingLocked(n, s, w)
	switch {
	case !c.missing:
		s.missingSince = time.Time{}
	case s.missingSince.IsZero():
		s.missingSince = n
	}
	if !c.missing && len(w) == len(s.stored) {
		return c
	}
	if k.owns(keyPrefix + string(service)) {
		// A host that has just started may not have seen the owner yet. If the key lists
		// something, the host still writes at once what is missing.
		c.due = len(s.stored) > 0 || n.Sub(k.watchedSince) >= ownerTime
		c.removes = len(union(w, s.stored)) > len(w)
		return c
	}
	c.due = c.missing && n.Sub(s.missingSince) >= k.patience(keyPrefix+string(service))
	c.versions = union(w, s.stored)
	return c
}

// missingLocked compares versions, those that may have begun streams, with s, the key of a
// service. The caller must hold mu.
func (k *Keeper) missingLocked(now time.Time, s *serviceKey, versions []sardineknot.SoftwareVersion) comparison {
	c := comparison{versions: versions, revision: s.revision, completeIn: unknownEra}
	if s.revision.Era != k.era {
		c.revision = sardineknot.StoreRevision{Era: k.era}
	}
	switch {
	case k.completeLocked(now) || s.completeFor(k.committedEra):
		c.completeIn = k.committedEra
	case s.completeIn != nil:
		c.completeIn = *s.completeIn
	}
	c.established = s.establishedOf(now, union(versions, s.stored))
	if len(s.stored) == 0 {
		// Nothing has begun streams before these versions.
		c.established = versions
	}
	c.missing = len(union(versions, s.stored)) > len(s.stored) || len(s.stored) > 0 && s.outdated(c)
	return c
}

// write writes what c states under the key of service. It reads the key if another
// write came first, because this host may not get the changes of the service in
// time.
func (k *Keeper) write(ctx context.Context, service sardineknot.ServiceName, c comparison) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e := sardineknot.StoreEntry{Key: keyPrefix + string(service)}
	var err error
	if len(c.versions) == 0 {
		err = k.Store.Delete(ctx, e.Key, c.revision)
		e.Revision.Era = c.revision.Era
	} else if e.Value, err = json.Marshal(c.value()); err == nil {
		e.Revision, err = k.Store.CompareAndSwap(ctx, e.Key, c.revision, e.Value, sardineknot.LeaseID{})
	}
	var f *sardineknot.ConflictError
	if errors.As(err, &f) {
		e, err = k.Store.Get(ctx, e.Key)
	}
	if err != nil {
		k.Log.Warn().Stringer("event", sardineknot.LogVersionsNotWritten).Str("key", keyPrefix+string(service)).Err(err).Send()
		return
	}
	k.Apply(e)
}

// union returns the elements of a and b, each once and in order.
func union(a, b []sardineknot.SoftwareVersion) []sardineknot.SoftwareVersion {
	l := append(slices.Clone(a), b...)
	slices.Sort(l)
	return slices.Compact(l)
}
