package twirp

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardineknot.example/sardineknot"
)

const (
	// shardCount is the number of shards, each under its own lock.
	shardCount = 16
	// maxShardRecords bounds the records of a shard. The oldest are dropped
	// beyond it.
	maxShardRecords = 8192
)

// records holds the versions that began recent streams. The zero value is empty.
type records struct {
	shards [shardCount]recordShard
}

// recordShard holds the records of the streams whose hash selects the shard.
type recordShard struct {
	mu       sync.Mutex
	versions map[sardineknot.RequestID]datedVersion
	// order lists the records by the time at which they were put. It has an element
	// for each time.
	order []datedStream
}

// datedVersion is the version that began a stream, and the time at which it was put
// last.
type datedVersion struct {
	version sardineknot.SoftwareVersion
	at      time.Time
}

// datedStream is a stream and the time at which its record was put.
type datedStream struct {
	stream sardineknot.RequestID
	at     time.Time
}

func (r *records) shard(stream sardineknot.RequestID) *recordShard {
	return &r.shards[xxhash.Sum64String(string(stream))%shardCount]
}

// put records version for stream at time now, unless another version is recorded, and
// drops the records that were last put before expired.
func (r *records) put(now, expired time.Time, stream sardineknot.RequestID, version sardineknot.SoftwareVersion) {
	s := r.shard(stream)
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.order) > 0 && (s.order[0].at.Before(expired) || len(s.order) >= maxShardRecords) {
		o := s.order[0]
		s.order = s.order[1:]
		if s.versions[o.stream].at.Equal(o.at) {
			delete(s.versions, o.stream)
		}
	}
	if o, ok := s.versions[stream]; ok && o.version != version {
		return
	}
	if s.versions == nil {
		s.versions = make(map[sardineknot.RequestID]datedVersion)
	}
	s.versions[stream] = datedVersion{version: version, at: now}
	s.order = append(s.order, datedStream{stream: stream, at: now})
}

func (r *records) get(stream sardineknot.RequestID) (version sardineknot.SoftwareVersion, ok bool) {
	s := r.shard(stream)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.versions[stream]
	return o.version, ok
}

// each calls visit with each record that was put at expired or later.
func (r *records) each(expired time.Time, visit func(sardineknot.RequestID, sardineknot.SoftwareVersion)) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for n, o := range s.versions {
			if !o.at.Before(expired) {
				visit(n, o.version)
			}
		}
		s.mu.Unlock()
	}
}
