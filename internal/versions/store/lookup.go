package store

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/versions"
)

const (
	// listInterval is the least time between two reads of all segments.
	listInterval = 300 * time.Millisecond
	// listTimeout bounds a read of all segments, and lookupTimeout the time for which
	// a caller waits for it. A caller that returns later finds what was read.
	listTimeout   = 2500 * time.Millisecond
	lookupTimeout = 500 * time.Millisecond
)

// lookup holds what was read from segments. The zero value holds nothing.
type lookup struct {
	mu sync.Mutex
	// records holds the versions of streams, which are empty if segments differ. They
	// never change, so that a record that was once read need not be read again while
	// the stream may be resumed.
	records map[uint64]sardineknot.SoftwareVersion
	// versions holds all versions in records.
	versions map[sardineknot.SoftwareVersion]bool
	// readAt is the time at which the last read ended, and reading is closed when the
	// present one ends. It is nil if there is none.
	readAt  time.Time
	reading chan struct{}
}

// MayHaveSegments reports whether there may be segments: as far as this host has seen, or
// because it has not read any.
func (k *Keeper) MayHaveSegments() bool {
	l := &k.lookup
	l.mu.Lock()
	r := l.readAt.IsZero()
	l.mu.Unlock()
	return r || k.HasSegments()
}

// StreamHash returns the hash under which the version that began stream is recorded.
func StreamHash(stream sardineknot.RequestID) uint64 { return xxhash.Sum64String(string(stream)) }

// GrantHash returns the hash under which is recorded that an engine of version was granted to
// stream.
func GrantHash(stream sardineknot.RequestID, version sardineknot.SoftwareVersion) uint64 {
	return xxhash.Sum64String(string(stream) + "\x00" + string(version))
}

// Find returns the version that began stream. It reads the segments unless they were
// read just now. Without a record of the version, it is the one whose engines were granted to
// the stream, if there is only one.
func (k *Keeper) Find(ctx context.Context, stream sardineknot.RequestID) (sardineknot.SoftwareVersion, bool) {
	v, c := k.cached(StreamHash(stream))
	if c != nil {
		t := time.NewTimer(lookupTimeout)
		defer t.Stop()
		select {
		case <-c:
		case <-t.C:
		case <-ctx.Done():
		}
	}
	if v == "" {
		v = k.lookup.begun(stream)
	}
	if v != "" {
		metrics.GetOrRegisterCounter("versions_found", k.Metrics).Inc(1)
	}
	return v, v != ""
}

// begun returns the version that began stream, as far as the segments show it, or an empty
// version.
func (l *lookup) begun(stream sardineknot.RequestID) sardineknot.SoftwareVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[StreamHash(stream)]
	if ok {
		return r
	}
	var g sardineknot.SoftwareVersion
	for v := range l.versions {
		_, ok := l.records[GrantHash(stream, v)]
		switch {
		case !ok:
		case g != "":
			return ""
		default:
			g = v
		}
	}
	return g
}

// cached returns the version of the stream with the given hash, or a channel that is
// closed once the segments are read. It returns neither if they were read just now.
func (k *Keeper) cached(hash uint64) (sardineknot.SoftwareVersion, <-chan struct{}) {
	l := &k.lookup
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.Clock.Now().Sub(l.readAt) > k.StreamTime() {
		l.records = nil
	}
	if v, ok := l.records[hash]; ok {
		return v, nil
	}
	if l.reading == nil {
		if !l.readAt.IsZero() && k.Clock.Now().Sub(l.readAt) < listInterval {
			return "", nil
		}
		l.reading = make(chan struct{})
		go k.list()
	}
	return "", l.reading
}

// list reads the segments. What was read before stays if that fails.
func (k *Keeper) list() {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	metrics.GetOrRegisterCounter("version_lists", k.Metrics).Inc(1)
	e, err := k.Store.List(ctx, segmentPrefix)
	if err != nil {
		k.Log.Warn().Stringer("event", sardineknot.LogVersionsNotRead).Str("key", segmentPrefix).Err(err).Send()
	}
	m := k.merge(e)
	if len(e) > 0 {
		k.markSegments()
	}
	l := &k.lookup
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.records, l.versions = m, make(map[sardineknot.SoftwareVersion]bool)
		for _, v := range m {
			l.versions[v] = true
		}
	}
	l.readAt = k.Clock.Now()
	close(l.reading)
	l.reading = nil
}

// merge returns the records of segments. A stream with several versions has an empty
// one.
func (k *Keeper) merge(segments []sardineknot.StoreEntry) map[uint64]sardineknot.SoftwareVersion {
	m := make(map[uint64]sardineknot.SoftwareVersion)
	for _, e := range segments {
		var p rpc.RecordBatchRequest
		if err := proto.Unmarshal(e.Value, &p); err != nil {
			k.Log.Warn().Stringer("event", sardineknot.LogVersionsNotRead).Str("key", e.Key).Err(err).Send()
			continue
		}
		for n, v := range decodeRecords(&p) {
			if o, ok := m[n]; ok && o != v {
				v = ""
			}
			m[n] = v
		}
	}
	return m
}
