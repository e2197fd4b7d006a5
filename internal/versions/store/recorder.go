package store

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/versions"
)

const (
	// segmentPrefix is the prefix of the keys of segments.
	segmentPrefix = "streams/"
	// batchInterval is the time from the first record of a batch to its write, and so
	// the least time between two writes.
	batchInterval = 20 * time.Millisecond
	// segmentTime is the time for which records are added to a segment. A longer time
	// takes fewer keys, but more bytes, because a segment is written whole.
	segmentTime = 4 * time.Second
	// maxSegmentRecords bounds the records of a segment, each of 9 or 10 bytes.
	maxSegmentRecords = 32768
)

// recorder gathers records and writes them in batches. The zero value has none.
type recorder struct {
	mu sync.Mutex
	// next is the batch that is gathered, or nil.
	next *batch

	// writing is held while a batch is written, and guards the fields below.
	writing sync.Mutex
	// segment holds the records of the current segment, which began at beganAt.
	segment map[uint64]sardineknot.SoftwareVersion
	beganAt time.Time
	// key is the key of the segment and number its number in the life of this host.
	key    string
	number int
	// revision is that of key. It is not known after a write that failed.
	revision sardineknot.StoreRevision
	known    bool
}

// batch is a set of records that are written together.
type batch struct {
	// records holds versions by the hash of the stream's identifier.
	records map[uint64]sardineknot.SoftwareVersion
	// done is closed after the write, which failed with err.
	done chan struct{}
	err  error
}

// Write writes records with the next batch. It fails with an UnavailableError unless
// they are written before ctx is done.
func (k *Keeper) Write(ctx context.Context, records *rpc.RecordBatchRequest) error {
	m := decodeRecords(records)
	r := &k.recorder
	r.mu.Lock()
	b := r.next
	if b == nil {
		b = &batch{records: make(map[uint64]sardineknot.SoftwareVersion), done: make(chan struct{})}
		r.next = b
		time.AfterFunc(batchInterval, k.flush)
	}
	if len(b.records)+len(m) > maxSegmentRecords {
		r.mu.Unlock()
		return errors.WithStack(&sardineknot.UnavailableError{Peer: "recorder of stream versions"})
	}
	maps.Copy(b.records, m)
	r.mu.Unlock()
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return errors.WithStack(&sardineknot.UnavailableError{Peer: "recorder of stream versions", Cause: ctx.Err()})
	}
}

// flush writes the batch that was gathered.
func (k *Keeper) flush() {
	r := &k.recorder
	r.writing.Lock()
	defer r.writing.Unlock()
	r.mu.Lock()
	b := r.next
	r.next = nil
	r.mu.Unlock()
	k.beginSegment(len(b.records))
	maps.Copy(r.segment, b.records)
	b.err = k.writeSegment()
	if b.err != nil {
		k.Log.Warn().Stringer("event", sardineknot.LogVersionsNotWritten).Str("key", r.key).Err(b.err).Send()
	} else {
		metrics.GetOrRegisterCounter("version_batches", k.Metrics).Inc(1)
		metrics.GetOrRegisterCounter("version_streams", k.Metrics).Inc(int64(len(b.records)))
	}
	close(b.done)
}

// beginSegment begins a new segment if the current one has no time or no room left
// for added records. The caller must hold recorder.writing.
func (k *Keeper) beginSegment(added int) {
	r := &k.recorder
	n := k.Clock.Now()
	if r.segment != nil && n.Sub(r.beganAt) < segmentTime && len(r.segment)+added <= maxSegmentRecords {
		return
	}
	r.number++
	r.segment, r.beganAt, r.known = make(map[uint64]sardineknot.SoftwareVersion), n, true
	r.key = segmentPrefix + string(k.Self) + "-" + strconv.FormatInt(n.UnixNano(), 36) + "-" + strconv.Itoa(r.number)
	k.mu.Lock()
	r.revision = sardineknot.StoreRevision{Era: k.era}
	k.mu.Unlock()
}

// writeSegment writes the segment. After a write that failed it reads the revision
// first: the write may have taken effect, and the service may have been restored from an
// older copy. The caller must hold recorder.writing.
func (k *Keeper) writeSegment() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r := &k.recorder
	k.markOwn(r.key)
	if !r.known {
		e, err := k.Store.Get(ctx, r.key)
		if err != nil {
			return err
		}
		r.revision = e.Revision
	}
	r.known = false
	b, err := proto.Marshal(encodeRecords(r.segment))
	if err != nil {
		return errors.WithStack(err)
	}
	v, err := k.Store.CompareAndSwap(ctx, r.key, r.revision, b, sardineknot.LeaseID{})
	if err != nil {
		return err
	}
	r.revision, r.known = v, true
	return nil
}

// encodeRecords returns the message for records.
func encodeRecords(records map[uint64]sardineknot.SoftwareVersion) *rpc.RecordBatchRequest {
	p := &rpc.RecordBatchRequest{}
	m := make(map[sardineknot.SoftwareVersion]uint32)
	for n, v := range records {
		i, ok := m[v]
		if !ok {
			i = uint32(len(p.Versions))
			m[v] = i
			p.Versions = append(p.Versions, string(v))
		}
		p.Streams, p.Indexes = append(p.Streams, n), append(p.Indexes, i)
	}
	return p
}

// decodeRecords returns the proper records of message.
func decodeRecords(message *rpc.RecordBatchRequest) map[uint64]sardineknot.SoftwareVersion {
	m := make(map[uint64]sardineknot.SoftwareVersion, len(message.GetStreams()))
	l, v := message.GetIndexes(), message.GetVersions()
	for i, n := range message.GetStreams() {
		if i < len(l) && int(l[i]) < len(v) && v[l[i]] != "" {
			m[n] = sardineknot.SoftwareVersion(v[l[i]])
		}
	}
	return m
}
