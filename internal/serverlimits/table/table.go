// Package table holds the limits that backend servers have named, and the permits
// for requests to these servers.
//
// A server names its limit in its answers for as long as it is in need. The limit
// ends with an answer to a later request that names none. One entry host, the owner,
// issues the permits of a server. A host that cannot reach the owner issues its
// share of the limit itself.
package table

import (
	"math"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/limits/bucket"
)

const (
	// minRate is the least number of requests a second to a limited server. A
	// server that gets no request at all could not end its limit.
	minRate = 0.25
	// burstTime is the time whose permits the owner may issue at once.
	burstTime = 500 * time.Millisecond
	// minBurst is the least number of permits that the owner may issue at once. With one, each
	// permit that no host requests before the next one is due would be lost in part, and hosts
	// request them some tens of milliseconds late.
	minBurst = 2
	// minWait is the least time until the next permit. The time that a bucket returns
	// may be rounded to zero.
	minWait = time.Millisecond
	// retention is the time for which a limit holds that no answer confirms, and
	// for which the end of a limit is known.
	retention = time.Minute
	// clockTolerance bounds the error of a time that another host has sent as an
	// age. Hosts that send each other the same news must not take it for newer.
	clockTolerance = 100 * time.Millisecond
	// maxServers bounds the number of servers with limits. The one whose limit was
	// named first is dropped beyond it.
	maxServers = 4096
)

// Table holds the limits by server process. It is safe for concurrent use and
// never reads a clock.
type Table struct {
	mu     sync.Mutex
	limits map[sardineknot.ServerProcess]*limit
}

// limit is what is known of the limit of one server.
type limit struct {
	sardineknot.ServerLimit
	// blockedUntil is the time before which no permit is to be had.
	blockedUntil time.Time
	// owned issues the permits of the owner, and share those of a host that cannot
	// reach the owner.
	owned, share bucket.Bucket
}

// New returns a table without limits.
func New() *Table { return &Table{limits: make(map[sardineknot.ServerProcess]*limit)} }

// Observe records an answer of process to a request that was sent at the time
// sent. The answer names the limit perSecond, or none if perSecond is zero.
// Observe returns what is known of the limit and whether that differs from before.
func (t *Table) Observe(now time.Time, process sardineknot.ServerProcess, perSecond float64, sent time.Time) (known sardineknot.ServerLimit, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[process]
	if perSecond > 0 {
		return t.setLocked(now, process, sardineknot.ServerLimit{PerSecond: max(perSecond, minRate), At: now})
	}
	if l == nil || l.PerSecond == 0 || sent.Before(l.At) {
		return sardineknot.ServerLimit{}, false
	}
	return t.setLocked(now, process, sardineknot.ServerLimit{At: now})
}

// Merge records the limit of process as reported by another entry host, unless the
// recorded one is newer or the reported one is no number of requests. Merge returns the
// limit that is recorded then, and whether it differs from before.
func (t *Table) Merge(now time.Time, process sardineknot.ServerProcess, told sardineknot.ServerLimit) (known sardineknot.ServerLimit, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[process]
	switch {
	case told.PerSecond >= 0 && !math.IsInf(told.PerSecond, 0):
	case l == nil:
		return sardineknot.ServerLimit{}, false
	default:
		return l.ServerLimit, false
	}
	if l == nil && told.PerSecond == 0 {
		return told, false
	}
	if told.PerSecond > 0 {
		told.PerSecond = max(told.PerSecond, minRate)
	}
	if l != nil && !l.outdated(told) {
		return l.ServerLimit, false
	}
	return t.setLocked(now, process, told)
}

// outdated reports whether told is newer than l.
func (l *limit) outdated(told sardineknot.ServerLimit) bool {
	if told.PerSecond == l.PerSecond {
		return told.At.Sub(l.At) > clockTolerance
	}
	return told.At.After(l.At)
}

// setLocked sets the limit of process.
func (t *Table) setLocked(now time.Time, process sardineknot.ServerProcess, known sardineknot.ServerLimit) (sardineknot.ServerLimit, bool) {
	l := t.limits[process]
	if l == nil {
		t.dropLocked(now)
		l = &limit{}
		t.limits[process] = l
	}
	c := l.PerSecond != known.PerSecond
	l.ServerLimit = known
	if c {
		l.blockedUntil = time.Time{}
	}
	return known, c
}

// dropLocked removes the limits that were not confirmed during retention, and the
// oldest one if there are maxServers.
func (t *Table) dropLocked(now time.Time) {
	var o sardineknot.ServerProcess
	var a time.Time
	for p, l := range t.limits {
		if now.Sub(l.At) > retention {
			delete(t.limits, p)
			continue
		}
		if a.IsZero() || l.At.Before(a) {
			o, a = p, l.At
		}
	}
	if len(t.limits) >= maxServers {
		delete(t.limits, o)
	}
}

// Known returns the limit of process. Its PerSecond is zero if there is none.
func (t *Table) Known(now time.Time, process sardineknot.ServerProcess) sardineknot.ServerLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[process]
	if l == nil || now.Sub(l.At) > retention {
		return sardineknot.ServerLimit{}
	}
	return l.ServerLimit
}

// Blocked returns the time for which no permit for process is to be had.
func (t *Table) Blocked(now time.Time, process sardineknot.ServerProcess) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[process]
	if l == nil {
		return 0
	}
	return max(0, l.blockedUntil.Sub(now))
}

// Block records that no permit for process is to be had for wait from now on, and for
// no longer than retention: the limit holds for that time at most. It returns that time.
func (t *Table) Block(now time.Time, process sardineknot.ServerProcess, wait time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait = min(max(wait, 0), retention)
	if l := t.limits[process]; l != nil {
		l.blockedUntil = now.Add(wait)
	}
	return wait
}

// TakeOwned takes a permit that this host issues as the owner. It returns zero if
// there is one or process has no limit, and otherwise the time until the next.
func (t *Table) TakeOwned(now time.Time, process sardineknot.ServerProcess) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[process]
	if l == nil || l.PerSecond == 0 {
		return 0
	}
	return take(&l.owned, l.PerSecond, max(minBurst, math.Floor(l.PerSecond*burstTime.Seconds())), now)
}

// TakeShare is like TakeOwned for a host that cannot reach the owner. The host
// issues its share among the given number of hosts.
func (t *Table) TakeShare(now time.Time, process sardineknot.ServerProcess, hosts int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[process]
	if l == nil || l.PerSecond == 0 {
		return 0
	}
	n := l.PerSecond / float64(max(hosts, 1))
	return take(&l.share, n, max(1, math.Floor(n*burstTime.Seconds())), now)
}

// take takes a permit from permits, which gets perSecond of them a second and holds up to most.
func take(permits *bucket.Bucket, perSecond, most float64, now time.Time) time.Duration {
	permits.Resize(perSecond, most, now)
	d := permits.Wait(1, now)
	if d == 0 {
		permits.Take(1, now)
		return 0
	}
	return max(minWait, d)
}
