package twirp

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/progress"
	"sardineknot.example/sardineknot/internal/platform/changelog"
	"sardineknot.example/sardineknot/internal/platform/era"
	rpc "sardineknot.example/sardineknot/internal/rpc/changes"
)

const (
	// maxPeerWait is the longest time for which a follower holds a call. It
	// bounds the time after which the failure of a follower is noticed.
	maxPeerWait = time.Second
	// retryWait replaces maxPeerWait after a follower has failed, so that the
	// search for another one is short.
	retryWait = 100 * time.Millisecond
	// peerMargin is the time within which the answer to a call begins, in addition to the
	// time for which the follower holds it, and within which it makes progress.
	peerMargin = 400 * time.Millisecond
	// maxPeersTried is the number of followers that are asked within one call.
	maxPeersTried = 3
	// storeMargin is the same as peerMargin for a call to the service.
	storeMargin = 600 * time.Millisecond
	// snapshotTimeout bounds the time without progress in a read of all keys of the
	// service. Its pages have shorter time limits of their own.
	snapshotTimeout = 5 * time.Second
	// peerSnapshotTimeout bounds the time without progress in a read of all keys from a
	// follower, which many hosts may do at the same time.
	peerSnapshotTimeout = 2 * time.Second
	// storeInterval is the least time between two calls to the service of a
	// host that is not a follower, or of a follower that the service does not answer
	// while other followers do.
	storeInterval = 2 * time.Second
)

// Feed is a sardineknot.ChangeFeed that reads from the service or from a
// follower. It also serves this host's log to other hosts. It is safe for
// concurrent use. The exported fields must be set before use.
type Feed struct {
	// Store reads from the service.
	Store sardineknot.ChangeFeed
	// Entries holds what this host has read. It is complete up to its revision, large values
	// included.
	Entries *changelog.Log
	// Selector selects the followers.
	Selector sardineknot.FollowerSelector
	// Bound returns the time within which each change must reach this host. It is positive.
	Bound func() time.Duration
	// Reachability reports whether this host has an up-to-date view of the
	// service.
	Reachability func() (reachable bool, since time.Time)
	// Refresh waits until Entries holds all changes that were made before the call.
	Refresh func(context.Context) error
	// ReadEntry reads the entry of a key from the service.
	ReadEntry func(ctx context.Context, key string) (sardineknot.StoreEntry, error)
	// Sleep waits for a duration, or returns an error when the context is done.
	Sleep func(context.Context, time.Duration) error
	// Clock provides the current time. It must count the time for which the machine is
	// suspended, in which the view of this host gets older too.
	Clock sardineknot.Clock
	// Client sends requests to other entry hosts.
	Client *http.Client
	// Log receives an event when the source of the changes changes.
	Log zerolog.Logger
	// StoreCalls and PeerCalls count the calls to the service and to followers.
	// StoreFailures and PeerFailures count those of them that failed.
	StoreCalls, PeerCalls       metrics.Counter
	StoreFailures, PeerFailures metrics.Counter
	// PeerBytes counts the bytes of the answers of followers, and DiscardedBytes those of
	// answers that were broken off. ServedBytes counts the bytes of answers to other hosts.
	PeerBytes, DiscardedBytes, ServedBytes metrics.Counter
	// SkippedValues counts the large values that this host lacked although it had read the
	// changes up to their revisions. Each is a fault, and is read then.
	SkippedValues metrics.Counter
	// Comparisons counts the comparisons of large values with those of another follower, and
	// FailedComparisons those of them that were not answered.
	Comparisons, FailedComparisons metrics.Counter
	// FirstStoreWait returns the time after the first call for which a host that is not
	// a follower leaves the service alone and only queries followers, if nothing was
	// answered yet. It is to differ between hosts, which may all have started together:
	// followers take some time to read all keys. Nil means no such time.
	FirstStoreWait func() time.Duration

	// packs holds the entries as they are sent to hosts that start.
	packs packedEntries
	// patches holds the patches of large values for hosts that read from this one.
	patches patches
	// transfers holds the large values that are being read. valueAskedAt is the time of the
	// last call to the service for one of them, which only Run uses.
	transfers    transfers
	valueAskedAt time.Time
	// answers reports whether the last call of Next was answered. Only Next uses it.
	answers bool
	// snapshot reports whether all entries were read since the last Commit that was not held
	// back. Only Snapshot and Commit use it.
	snapshot bool
	// latest is the latest era of an answer.
	latest era.Latest

	mu sync.Mutex
	// peers is the last result of Selector.Peers. current is the index in it
	// of the follower to ask.
	peers   []sardineknot.EntryHostID
	current int
	// source is the follower that answered last. It is empty if the service
	// itself did.
	source sardineknot.EntryHostID
	// turned is closed when source becomes a follower. It is nil if nothing waits for that.
	turned chan struct{}
	// storeAskedAt is the time of the last call to the service, and storeFailedAt that of
	// the last one that failed.
	storeAskedAt, storeFailedAt time.Time
	// startedAt is the time of the first call. answered is set once there was an answer.
	startedAt time.Time
	answered  bool
	// readAsOf is the time for which the last answer shows the service. currentAsOf is the
	// same for what was passed to Commit, but for large values that are being read, and
	// completeAsOf the same for what Commit has made visible, which lacks none. All are zero
	// before the first answer.
	readAsOf, currentAsOf, completeAsOf time.Time
	// readTo is the latest revision up to which this host has read the entries.
	readTo sardineknot.StoreRevision
	// failed holds the sources that have failed since the last answer.
	failed map[sardineknot.EntryHostID]bool
}

var _ sardineknot.ChangeFeed = (*Feed)(nil)

// request is what is read, from a follower or from the service.
type request struct {
	// peer reads from a follower, which may hold the call for wait.
	peer func(ctx context.Context, peer rpc.Changes, wait time.Duration) error
	// store reads from the service, which may hold the call for wait.
	store func(ctx context.Context, wait time.Duration) error
	// bounded is set if the service is read in time for Bound. A read of all keys is not:
	// many hosts may need one at the same time.
	bounded bool
}

// Snapshot implements sardineknot.ChangeFeed.
func (f *Feed) Snapshot(ctx context.Context) (entries []sardineknot.StoreEntry, revision sardineknot.StoreRevision, err error) {
	var a time.Time
	q := request{peer: func(ctx context.Context, peer rpc.Changes, _ time.Duration) error {
		b := f.Clock.Now()
		var d time.Duration
		var e error
		entries, revision, d, e = snapshotFrom(ctx, peer)
		a = b.Add(d)
		return f.admitCopy(revision, f.admit(revision, e))
	}, store: func(ctx context.Context, _ time.Duration) error {
		ctx, cancel := progress.WithTimeout(ctx, snapshotTimeout, snapshotTimeout)
		defer cancel()
		a = f.Clock.Now()
		var e error
		entries, revision, e = f.Store.Snapshot(ctx)
		return f.admit(revision, e)
	}}
	err = f.read(ctx, maxPeerWait, q)
	f.recordRead(a, revision, err)
	if err == nil {
		f.transfers.reset(entries)
		f.snapshot = true
	}
	return entries, revision, err
}

// Next implements sardineknot.ChangeFeed. Large values that followers send in parts end the
// wait for changes when they arrive.
func (f *Feed) Next(ctx context.Context, revision sardineknot.StoreRevision, timeout time.Duration) (changes []sardineknot.StoreEntry, next sardineknot.StoreRevision, err error) {
	// A read without a wait, or after a failure, is to show what the service holds, or
	// whether it answers. A value that has arrived shows neither.
	c, cancel := ctx, func() {}
	if timeout > 0 && f.answers {
		c, cancel = f.transfers.interruptible(ctx)
	}
	defer cancel()
	changes, next, err = f.next(c, revision, timeout)
	if err != nil && isInterrupted(c) {
		return f.transfers.take(), revision, nil
	}
	f.answers = err == nil
	if err == nil {
		changes = append(f.transfers.take(), changes...)
	}
	return changes, next, err
}

// next reads the changes made after revision from a follower or from the service.
func (f *Feed) next(ctx context.Context, revision sardineknot.StoreRevision, timeout time.Duration) ([]sardineknot.StoreEntry, sardineknot.StoreRevision, error) {
	var a answer
	q := request{bounded: true, peer: func(ctx context.Context, peer rpc.Changes, wait time.Duration) error {
		b := f.Clock.Now()
		var e error
		a, e = f.nextFrom(ctx, peer, revision, wait)
		a.asOf = b.Add(a.current)
		return f.admit(a.next, e)
	}, store: func(ctx context.Context, wait time.Duration) error {
		ctx, cancel := progress.WithTimeout(ctx, wait+storeMargin, storeMargin)
		defer cancel()
		b := f.Clock.Now()
		l, n, e := f.Store.Next(ctx, revision, wait)
		a = answer{changes: l, next: n, asOf: b}
		if len(l) == 0 && f.Clock.Now().Sub(b) >= wait {
			a.asOf = b.Add(wait) // the service held the call to the end
		}
		return f.admit(n, e)
	}}
	err := f.read(ctx, timeout, q)
	f.recordRead(a.asOf, a.next, err)
	if err != nil {
		return nil, revision, err
	}
	f.transfers.end(a.changes)
	f.transfers.begin(a.deferred, f.currentSource(), f.Clock.Now())
	f.readSkipped(a.missing, revision, f.currentSource())
	return a.changes, a.next, nil
}

// isInterrupted reports whether ctx is done because a large value has arrived.
func isInterrupted(ctx context.Context) bool {
	var a *arrivedError
	return errors.As(context.Cause(ctx), &a)
}

// admit returns err or, if there is none, an error if revision, the one of an
// answer, is of an era before the latest one. The answer then counts as none.
func (f *Feed) admit(revision sardineknot.StoreRevision, err error) error {
	if err != nil {
		return err
	}
	return f.latest.Admit(revision.Era)
}

// admitCopy returns err or, if there is none, an error if a follower's copy of all entries
// at revision is older than what this host has read: keys that were removed since would be
// back, and those that were written would be gone.
func (f *Feed) admitCopy(revision sardineknot.StoreRevision, err error) error {
	f.mu.Lock()
	r := f.readTo
	f.mu.Unlock()
	if err != nil || revision.Compare(r) >= 0 {
		return err
	}
	return errors.WithStack(&sardineknot.StaleRevisionError{Got: revision, Read: r})
}

// read reads from followers until one answers, and from the service if none does. A host
// that is a follower itself reads from the service first. The service may refuse this host
// and serve others. A CompactedError is an answer. wait is the longest time for which a call
// may be held.
func (f *Feed) read(ctx context.Context, wait time.Duration, q request) error {
	f.recordStart()
	if !f.Selector.FollowsStore() || f.readsPeers() && !f.mayAskStore() {
		return f.readPeers(ctx, wait, q)
	}
	err := f.readStore(ctx, min(wait, f.maxStoreWait()), q)
	if isAnswer(err) || ctx.Err() != nil || !f.hasPeers() {
		return err
	}
	f.recordStoreCall()
	return f.readPeers(ctx, min(wait, retryWait), q)
}

// recordStart records the time of the first call.
func (f *Feed) recordStart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.startedAt.IsZero() {
		f.startedAt = f.Clock.Now()
	}
}

// hasPeers reports whether there is another follower.
func (f *Feed) hasPeers() bool { return len(f.Selector.Peers()) > 0 }

// readsPeers reports whether the last answer came from another follower.
func (f *Feed) readsPeers() bool { return !f.followsDirectly() }

// recordStoreCall records a call to the service, so that the next one is at least
// storeInterval later.
func (f *Feed) recordStoreCall() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeAskedAt = f.Clock.Now()
}

// readPeers reads from followers until one answers. If none does, it reads from the service,
// unless the last call to the service is too recent. It reads from the service first if the
// view of this host is about to be older than Bound.
func (f *Feed) readPeers(ctx context.Context, wait time.Duration, q request) error {
	l := f.Selector.Peers()
	if len(l) == 0 {
		return f.readStore(ctx, min(wait, f.maxStoreWait()), q)
	}
	f.setPeers(l)
	if q.bounded && f.takeDueRead() {
		err := f.readStore(ctx, 0, q)
		if isAnswer(err) || ctx.Err() != nil {
			return err
		}
	}
	err := f.tryPeers(ctx, l, wait, q)
	if isAnswer(err) || ctx.Err() != nil {
		return err
	}
	if q.bounded && f.takeDueRead() {
		return f.readStore(ctx, 0, q)
	}
	if f.mayAskStore() {
		return f.readStore(ctx, min(wait, f.maxStoreWait()), q)
	}
	return err
}

// tryPeers reads from the followers in list until one answers, or until the view of this
// host is due to be read from the service.
func (f *Feed) tryPeers(ctx context.Context, list []sardineknot.EntryHost, wait time.Duration, q request) error {
	c := ctx
	if d := f.untilDue(); q.bounded && d > 0 {
		var cancel context.CancelFunc
		c, cancel = context.WithTimeout(ctx, d)
		defer cancel()
	}
	var err error
	for range min(maxPeersTried, len(list)) {
		err = f.tryPeer(c, f.currentPeer(list), f.peerWait(wait), q)
		if isAnswer(err) || ctx.Err() != nil {
			return err
		}
		f.nextPeer()
		if c.Err() != nil {
			return err
		}
		wait = min(wait, retryWait)
	}
	return err
}

// tryPeer reads from the follower host.
func (f *Feed) tryPeer(ctx context.Context, host sardineknot.EntryHost, wait time.Duration, q request) error {
	f.PeerCalls.Inc(1)
	c := &meteredClient{client: f.Client}
	b := f.Clock.Now()
	err := callPeer(ctx, c, host, wait, q.peer)
	n := c.received.Load()
	f.PeerBytes.Inc(n)
	if isAnswer(err) {
		f.setSource(host.ID)
		return err
	}
	if isInterrupted(ctx) {
		return err
	}
	f.PeerFailures.Inc(1)
	f.DiscardedBytes.Inc(n)
	f.recordFailure(host.ID, b, n, err)
	return err
}

// readStore reads from the service and records that it is the source.
func (f *Feed) readStore(ctx context.Context, wait time.Duration, q request) error {
	f.StoreCalls.Inc(1)
	b := f.Clock.Now()
	err := q.store(ctx, wait)
	if isAnswer(err) {
		f.setSource("")
		return err
	}
	if ctx.Err() == nil {
		f.StoreFailures.Inc(1)
		f.recordFailure("", b, 0, err)
	}
	return err
}

// isAnswer reports whether a call that returned err was answered.
func isAnswer(err error) bool {
	var c *sardineknot.CompactedError
	return err == nil || errors.As(err, &c)
}
