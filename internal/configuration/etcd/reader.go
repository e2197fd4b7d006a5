// Package etcd reads the accepted configuration from the platform's key-value
// service.
//
// Only the hosts that rank first in their availability zones read from the
// service. They watch the head and also read it periodically, because a watch
// can stop delivering events without failing.
package etcd

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/bundle"
	"sardineknot.example/sardineknot/internal/configuration/revision"
)

const (
	// startupReads is the number of reads per interval while the host has no
	// configuration.
	startupReads = 5
	// fullReadPeriod is the number of reads after which the head is fetched
	// even if its store revision is unchanged. A store restored from a backup
	// may reach the same store revision with a different head.
	fullReadPeriod = 60
	// watchTimeout bounds the time to establish a watch.
	watchTimeout = 2 * time.Second
)

// Reader reads the configuration from the store on behalf of all hosts of an
// availability zone. All exported fields must be set before Run is called.
type Reader struct {
	// Store is the platform's key-value service.
	Store sardineknot.WatchableStore
	// Tracker holds the configuration in force.
	Tracker *revision.Tracker
	// Offer puts a head with its bundles in force if its revision is greater
	// than the one in force. source is the name of the source, for the log.
	Offer func(head []byte, b bundle.Set, source string) error
	// ShouldRead reports whether this host is to read the store on behalf of
	// all hosts of its availability zone.
	ShouldRead func() bool
	// Log receives an event for each alarm, and when reads begin or cease to
	// fail.
	Log zerolog.Logger

	// alarms counts the heads that were rejected with a
	// StaleConfigurationError. staleHeadGauge is 1 while the store holds such
	// a head and 0 otherwise.
	alarms         metrics.Counter
	staleHeadGauge metrics.Gauge
	// alarmedHash is the hash of the head for which the last alarm was raised,
	// or empty once the store holds an acceptable head.
	alarmedHash string
	// seenRevision is the store revision of the last head that was processed,
	// or zero if there is none.
	seenRevision sardineknot.StoreRevision
	// readsSinceFull counts the reads since the head was last fetched.
	readsSinceFull int
	// failing reports whether the last read failed.
	failing bool
	// watch is nil while the head is not watched. stopWatch ends the watch.
	watch     <-chan sardineknot.StoreEntry
	stopWatch context.CancelFunc
}

// NewReader returns a reader that registers its metrics in r.
func NewReader(r metrics.Registry) *Reader {
	return &Reader{
		alarms:         metrics.GetOrRegisterCounter("configuration.alarms", r),
		staleHeadGauge: metrics.GetOrRegisterGauge("configuration.store_older", r),
		stopWatch:      func() {},
	}
}

// Run reads the head every interval, and immediately when the watch reports a
// change, until ctx is done. A host without a configuration reads more often.
func (r *Reader) Run(ctx context.Context, interval time.Duration) error {
	t := time.NewTimer(0)
	defer t.Stop()
	defer func() { r.stopWatch() }()
	for {
		r.poll(ctx)
		t.Reset(r.pollInterval(interval))
		for w := true; w; {
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
				w = false
			case e, ok := <-r.watch:
				r.handleEvent(ctx, e, ok)
			}
		}
	}
}

// pollInterval returns the time until the next read.
func (r *Reader) pollInterval(interval time.Duration) time.Duration {
	if r.Tracker.Current().Revision == 0 {
		return interval / startupReads
	}
	return interval
}

// poll reads the head and then watches it, if ShouldRead returns true.
// Otherwise it ends the watch.
func (r *Reader) poll(ctx context.Context) {
	if !r.ShouldRead() {
		r.endWatch()
		return
	}
	err := r.read(ctx)
	r.logTransition(ctx, err)
	if err == nil && r.watch == nil {
		r.startWatch(ctx, r.seenRevision)
	}
}

// read fetches and applies the head unless its store revision is unchanged: a
// head is large and seldom changes.
func (r *Reader) read(ctx context.Context) error {
	u, err := r.headUnchanged(ctx)
	if err != nil || u {
		return err
	}
	e, err := r.Store.Get(ctx, sardineknot.ConfigurationHeadKey)
	if err != nil {
		return err
	}
	r.readsSinceFull = 0
	return r.acceptEntry(ctx, e)
}

// acceptEntry applies the head in e and records its store revision.
func (r *Reader) acceptEntry(ctx context.Context, e sardineknot.StoreEntry) error {
	err := r.applyHead(ctx, e.Value)
	if err == nil {
		r.seenRevision = e.Revision
	}
	return err
}

// headUnchanged reports whether the stored head has the store revision that was
// last processed, so that it need not be fetched. At least one in
// fullReadPeriod calls returns false. Each call increments readsSinceFull.
func (r *Reader) headUnchanged(ctx context.Context) (bool, error) {
	r.readsSinceFull++
	if r.seenRevision.Absent() || r.readsSinceFull >= fullReadPeriod {
		return false, nil
	}
	l, err := r.Store.Keys(ctx, sardineknot.ConfigurationHeadKey)
	if err != nil {
		return false, err
	}
	return len(l) == 1 && l[0].Revision == r.seenRevision, nil
}

// startWatch watches the head for changes that are made after storeRevision.
// watchTimeout ensures that a connection that does not respond cannot block the
// periodic reads.
func (r *Reader) startWatch(ctx context.Context, storeRevision sardineknot.StoreRevision) {
	w, cancel := context.WithCancel(ctx)
	t := time.AfterFunc(watchTimeout, cancel)
	c, err := r.Store.Watch(w, sardineknot.ConfigurationHeadKey, storeRevision)
	if !t.Stop() || err != nil {
		cancel()
		return
	}
	r.watch, r.stopWatch = c, cancel
}

func (r *Reader) endWatch() {
	r.stopWatch()
	r.watch, r.stopWatch = nil, func() {}
}

// handleEvent applies a change reported by the watch. ok is false when the
// watch has ended.
func (r *Reader) handleEvent(ctx context.Context, e sardineknot.StoreEntry, ok bool) {
	if !ok {
		r.endWatch()
		return
	}
	if e.Key == sardineknot.ConfigurationHeadKey {
		r.logTransition(ctx, r.acceptEntry(ctx, e))
	}
}

// applyHead puts the stored head in force if its revision is greater than the
// one in force. It fetches the bundles that this host lacks. It raises an alarm
// if the head is stale.
func (r *Reader) applyHead(ctx context.Context, head []byte) error {
	m, ok, err := r.Tracker.Check(head)
	if err != nil {
		return r.reportStaleHead(head, err)
	}
	r.staleHeadGauge.Update(0)
	r.alarmedHash = ""
	if !ok {
		return nil
	}
	b := make(bundle.Set, len(m))
	for _, f := range m {
		e, err := r.Store.Get(ctx, sardineknot.ConfigurationBundlePrefix+f.Hash)
		if err != nil {
			return err
		}
		b[f.Hash] = e.Value
	}
	return r.Offer(head, b, "store")
}

// reportStaleHead raises one alarm per head if err is a StaleConfigurationError,
// which means that the store was reset to an earlier state. It returns any
// other error.
func (r *Reader) reportStaleHead(head []byte, err error) error {
	var o *sardineknot.StaleConfigurationError
	if !errors.As(err, &o) {
		return err
	}
	r.staleHeadGauge.Update(1)
	h := bundle.Hash(head)
	if r.alarmedHash == h {
		return nil
	}
	r.alarmedHash = h
	r.alarms.Inc(1)
	r.Log.Error().Stringer("event", sardineknot.LogConfigurationStoreOlder).Int64("stored", int64(o.Got)).Int64("in_force", int64(o.InForce)).Send()
	return nil
}

// logTransition logs when reads begin or cease to fail.
func (r *Reader) logTransition(ctx context.Context, err error) {
	f := err != nil
	if ctx.Err() != nil || f == r.failing {
		return
	}
	r.failing = f
	if f {
		r.Log.Warn().Stringer("event", sardineknot.LogConfigurationReadFailed).Err(err).Send()
		return
	}
	r.Log.Info().Stringer("event", sardineknot.LogConfigurationReadRecovered).Send()
}
