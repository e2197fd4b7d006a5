// Package etcd reads the accepted configuration from the platform's key-value
// service.
//
// Only the hosts that rank first in their availability zones read. They watch
// the head, and read it from time to time as well, since a watch can go silent.
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
	// bootReadings is the number of readings in an interval on a host without
	// a configuration.
	bootReadings = 5
	// fullReadings is the number of readings of which one takes the head
	// whatever its revision is. A store that was restored from a backup may
	// come to the same revision with another head.
	fullReadings = 60
	// watchTimeout bounds the time until a watch has begun.
	watchTimeout = 2 * time.Second
)

// Reader reads the store for its availability zone. All exported fields are
// set before Run.
type Reader struct {
	// Store is the platform's key-value service.
	Store sardineknot.WatchedStore
	// Tracker holds the configuration in force.
	Tracker *revision.Tracker
	// Offer puts a head with its bundles in force.
	Offer func(head []byte, b bundle.Set, from string) error
	// Reads reports whether it is this host's turn to read.
	Reads func() bool
	// Log takes an event for each alarm.
	Log zerolog.Logger

	// alarms counts the heads that were refused. older is one while the store
	// holds such a head.
	alarms metrics.Counter
	older  metrics.Gauge
	// refused is the head that the last alarm was about, as its hash.
	refused string
	// seen is the revision of the head that was taken last. Zero means none.
	seen sardineknot.StoreRevision
	// readings counts the readings since one that took the head.
	readings int
	// failing reports that the last read failed.
	failing bool
	// watch is nil while the head is not watched. stop ends it.
	watch <-chan sardineknot.StoreEntry
	stop  context.CancelFunc
}

// NewReader returns a reader that counts in r.
func NewReader(r metrics.Registry) *Reader {
	return &Reader{
		alarms: metrics.GetOrRegisterCounter("configuration.alarms", r),
		older:  metrics.GetOrRegisterGauge("configuration.store_older", r),
		stop:   func() {},
	}
}

// Run reads the head every interval, and at once when it changes, until ctx is
// done. A host without a configuration reads more often.
func (r *Reader) Run(ctx context.Context, interval time.Duration) error {
	t := time.NewTimer(0)
	defer t.Stop()
	defer func() { r.stop() }()
	for {
		r.poll(ctx)
		t.Reset(r.pause(interval))
		for w := true; w; {
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
				w = false
			case e, ok := <-r.watch:
				r.event(ctx, e, ok)
			}
		}
	}
}

func (r *Reader) pause(interval time.Duration) time.Duration {
	if r.Tracker.Current().Revision == 0 {
		return interval / bootReadings
	}
	return interval
}

// poll reads the head if it is this host's turn, and watches it from there on.
func (r *Reader) poll(ctx context.Context) {
	if !r.Reads() {
		r.unwatch()
		return
	}
	err := r.read(ctx)
	r.note(ctx, err)
	if err == nil && r.watch == nil {
		r.open(ctx, r.seen)
	}
}

// read takes the head, unless its revision is the one that was seen last: a
// head is long, and seldom changes.
func (r *Reader) read(ctx context.Context) error {
	u, err := r.unchanged(ctx)
	if err != nil || u {
		return err
	}
	e, err := r.Store.Get(ctx, sardineknot.ConfigurationHeadKey)
	if err != nil {
		return err
	}
	r.readings = 0
	return r.see(ctx, e)
}

// see takes the head in e and notes its revision.
func (r *Reader) see(ctx context.Context, e sardineknot.StoreEntry) error {
	err := r.take(ctx, e.Value)
	if err == nil {
		r.seen = e.Revision
	}
	return err
}

// unchanged reports whether the head need not be taken again.
func (r *Reader) unchanged(ctx context.Context) (bool, error) {
	r.readings++
	if r.seen == 0 || r.readings >= fullReadings {
		return false, nil
	}
	l, err := r.Store.Keys(ctx, sardineknot.ConfigurationHeadKey)
	if err != nil {
		return false, err
	}
	return len(l) == 1 && l[0].Revision == r.seen, nil
}

// open watches the head from revision after on. A connection that went silent
// must not hold up the readings.
func (r *Reader) open(ctx context.Context, after sardineknot.StoreRevision) {
	w, cancel := context.WithCancel(ctx)
	t := time.AfterFunc(watchTimeout, cancel)
	c, err := r.Store.Watch(w, sardineknot.ConfigurationHeadKey, after)
	if !t.Stop() || err != nil {
		cancel()
		return
	}
	r.watch, r.stop = c, cancel
}

func (r *Reader) unwatch() {
	r.stop()
	r.watch, r.stop = nil, func() {}
}

// event takes what the watch reports. ok is false at its end.
func (r *Reader) event(ctx context.Context, e sardineknot.StoreEntry, ok bool) {
	if !ok {
		r.unwatch()
		return
	}
	if e.Key == sardineknot.ConfigurationHeadKey {
		r.note(ctx, r.see(ctx, e))
	}
}

// take puts the stored head in force if it is newer, with the bundles that
// this host lacks.
func (r *Reader) take(ctx context.Context, head []byte) error {
	m, ok, err := r.Tracker.Check(head)
	if err != nil {
		return r.alarm(head, err)
	}
	r.older.Update(0)
	r.refused = ""
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

// alarm tells of a store that has come back older. Other errors are returned.
func (r *Reader) alarm(head []byte, err error) error {
	var o *sardineknot.OlderConfigurationError
	if !errors.As(err, &o) {
		return err
	}
	r.older.Update(1)
	h := bundle.Hash(head)
	if r.refused == h {
		return nil
	}
	r.refused = h
	r.alarms.Inc(1)
	r.Log.Error().Stringer("event", sardineknot.LogConfigurationStoreOlder).Int64("stored", int64(o.Got)).Int64("in_force", int64(o.InForce)).Send()
	return nil
}

// note logs when reading begins or ceases to fail.
func (r *Reader) note(ctx context.Context, err error) {
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
