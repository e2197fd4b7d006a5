package store

import (
	"slices"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// copyAge is the age of the oldest copy from which the key-value service may be
	// restored. A version whose key was written that long ago is in every copy.
	copyAge = 6 * time.Second
	// maxWithheldTime bounds the time for which a version is withheld while its key cannot
	// be written.
	maxWithheldTime = 15 * time.Second
	// returnTime is the time after the return of the service in which servers that it has
	// lost may not have registered again.
	returnTime = 2200 * time.Millisecond
)

// Complete reports whether version is the only one that may have begun streams of service
// before this host started, if the key lists no other one. wait is the time after which it
// is, unless servers of another one have registered by then; zero means that it is not known
// then either. A service whose version is established has withheld all others for at least
// the age of a copy, so that none of them can have begun a stream in the time that the copy
// lacks.
func (k *Keeper) Complete(service sardineknot.ServiceName, version sardineknot.SoftwareVersion) (complete bool, wait time.Duration) {
	n := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.services[service]
	if version == "" || k.completeLocked(n) || s != nil && s.completeFor(k.committedEra) {
		return true, 0
	}
	if s == nil || !slices.Contains(s.established, version) {
		return false, 0
	}
	wait = returnTime - n.Sub(k.committedAt)
	return wait <= 0, max(0, wait)
}

// completeLocked reports whether this host has seen all versions that may have begun streams
// which can still be resumed: it has observed the servers for as long as such streams may
// last, it read the keys before the key-value service was last restored, or the service
// never was. The caller must hold mu.
func (k *Keeper) completeLocked(now time.Time) bool {
	if !k.read {
		return false
	}
	return k.committedEra == 0 || k.firstEra < k.committedEra || now.Sub(k.watchedSince) > k.StreamTime()
}

// Withheld returns those of versions, the numbers of servers of service that could begin a
// stream by their software version, on which no stream that can be resumed should begin yet,
// and until when. A version is withheld until it is established: hosts that start after all
// were killed and the key-value service was restored would have no record that it has begun
// streams. Versions of more servers than the established ones have are not withheld, so that a
// release or the first start of a service does not wait.
func (k *Keeper) Withheld(service sardineknot.ServiceName, versions map[sardineknot.SoftwareVersion]int) (withheld []sardineknot.SoftwareVersion, until time.Time) {
	n := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.services[service]
	if s == nil {
		return nil, time.Time{}
	}
	e, o := 0, 0
	for v, c := range versions {
		if v == "" || s.isEstablished(n, v) {
			e += c
			k.releaseLocked(service, v)
			continue
		}
		o += c
		withheld = append(withheld, v)
	}
	if o > e {
		return nil, time.Time{}
	}
	withheld = slices.DeleteFunc(withheld, func(v sardineknot.SoftwareVersion) bool {
		return n.Sub(k.withholdLocked(n, service, v)) > maxWithheldTime
	})
	slices.Sort(withheld)
	for _, v := range withheld {
		until = s.establishedAt(n, v)
	}
	return withheld, until
}

// withholdLocked records that version is withheld, and returns the time since which it is.
// The caller must hold mu.
func (k *Keeper) withholdLocked(now time.Time, service sardineknot.ServiceName, version sardineknot.SoftwareVersion) time.Time {
	s := k.serviceLocked(service)
	t, ok := s.withheldSince[version]
	if ok {
		return t
	}
	s.withheldSince[version] = now
	k.Log.Info().Stringer("event", sardineknot.LogVersionWithheld).Str("service", string(service)).Str("version", string(version)).Bool("withheld", true).Send()
	return now
}

// releaseGone records that versions of service without servers are not withheld any more.
func (k *Keeper) releaseGone(service sardineknot.ServiceName) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.services[service]
	if s == nil {
		return
	}
	for v := range s.withheldSince {
		if !k.History.Present(service, v) {
			k.releaseLocked(service, v)
		}
	}
}

// releaseLocked records that version is not withheld any more. The caller must hold mu.
func (k *Keeper) releaseLocked(service sardineknot.ServiceName, version sardineknot.SoftwareVersion) {
	s := k.serviceLocked(service)
	if _, ok := s.withheldSince[version]; !ok {
		return
	}
	delete(s.withheldSince, version)
	k.Log.Info().Stringer("event", sardineknot.LogVersionWithheld).Str("service", string(service)).Str("version", string(version)).Bool("withheld", false).Send()
}

// establishedAt returns the time at which version is expected to be established. A version
// that the key does not list yet is listed within about a second.
func (s *serviceKey) establishedAt(now time.Time, version sardineknot.SoftwareVersion) time.Time {
	if slices.Contains(s.stored, version) {
		return s.since[version].Add(copyAge)
	}
	return now.Add(copyAge + ownerTime)
}

// isEstablished reports whether every copy of the key-value service lists version.
func (s *serviceKey) isEstablished(now time.Time, version sardineknot.SoftwareVersion) bool {
	if slices.Contains(s.established, version) {
		return true
	}
	return slices.Contains(s.stored, version) && now.Sub(s.since[version]) >= copyAge
}

// establishedOf returns those of versions that are established.
func (s *serviceKey) establishedOf(now time.Time, versions []sardineknot.SoftwareVersion) []sardineknot.SoftwareVersion {
	var l []sardineknot.SoftwareVersion
	for _, v := range versions {
		if v != unreadable && s.isEstablished(now, v) {
			l = append(l, v)
		}
	}
	return l
}

// completeFor reports whether the key lists all versions for era.
func (s *serviceKey) completeFor(era sardineknot.StoreEra) bool {
	if s.completeIn == nil {
		return !s.revision.Absent()
	}
	return *s.completeIn == era
}

// outdated reports whether the key lacks an established version, or the latest era for which
// it is complete.
func (s *serviceKey) outdated(c comparison) bool {
	if s.completeIn == nil || c.completeIn > *s.completeIn {
		return true
	}
	return len(union(c.established, s.storedEstablished)) > len(s.storedEstablished)
}

// value returns the value to be written.
func (c comparison) value() value {
	e := slices.DeleteFunc(slices.Clone(c.established), func(v sardineknot.SoftwareVersion) bool { return !slices.Contains(c.versions, v) })
	return value{Versions: c.versions, Established: e, Era: &c.completeIn}
}
