package twirp

import "time"

const (
	// storeReserve is the time before the bound at which a host reads from the service itself.
	// It covers the wait after a failed poll, and the answer, which may hold a large value.
	storeReserve = time.Second
	// minDueShare is the least part of the bound after which it does so. Without faults, no
	// view gets that old.
	minDueShare = 0.625
	// valueDueShare is the part of the bound after which a host reads a large value that is
	// missing in its view from the service itself.
	valueDueShare = 0.5
)

// dueAge returns the age of the view of this host at which it reads from the service itself,
// whatever followers do.
func (f *Feed) dueAge() time.Duration { return max(f.share(minDueShare), f.Bound()-storeReserve) }

// share returns the given part of the bound.
func (f *Feed) share(part float64) time.Duration { return time.Duration(part * float64(f.Bound())) }

// untilValueDue returns the time until a missing large value is due to be read from the
// service. It is not positive if that time is over.
func (f *Feed) untilValueDue() time.Duration { return f.share(valueDueShare) - f.ViewAge() }

// maxStoreWait returns the longest time for which the service is to hold a call. It bounds
// the time after which a follower notices that the service does not answer.
func (f *Feed) maxStoreWait() time.Duration { return f.Bound() / 6 }

// MaxPollDelay returns the longest time between two reads of a follower from the service.
func (f *Feed) MaxPollDelay() time.Duration { return f.Bound() / 4 }

// retryAge returns the age of the view of this host at which a follower should have
// answered. Unless Bound is short, there is time then to notice that it does not, and to
// try another one.
func (f *Feed) retryAge() time.Duration {
	return max(f.Bound()/2, f.dueAge()-2*peerMargin-retryWait)
}

// peerWait returns the time, at most wait, for which a follower is to hold a call.
func (f *Feed) peerWait(wait time.Duration) time.Duration {
	return min(wait, maxPeerWait, max(f.Bound()/8, f.retryAge()-f.changesAge()))
}

// untilDue returns the time until the view of this host is due to be read from the service.
// It is not positive if that time is over.
func (f *Feed) untilDue() time.Duration { return f.dueAge() - f.changesAge() }

// takeDueRead reports whether the view of this host is due to be read from the service. If
// so, it records a call. The service is not called again soon after a failure: an outage
// makes the views of all hosts old.
func (f *Feed) takeDueRead() bool {
	if f.untilDue() > 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.Clock.Now()
	if n.Sub(f.storeFailedAt) < storeInterval {
		return false
	}
	f.storeAskedAt = n
	return true
}
