// Package etcd implements a stand-in for the platform's key-value service. It
// keeps all keys in memory and serves a subset of the etcd v3 API in its JSON
// encoding.
package etcd

import (
	"io"
	"maps"
	"net/http"
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	api "sardineknot.example/sardineknot/internal/rpc/etcd"
	"sardineknot.example/sardineknot/internal/standin/fault"
	"sardineknot.example/sardineknot/internal/standin/record"
)

const maxRequestBytes = 4 << 20

// Server is an http.Handler that stores keys and leases. It is safe for
// concurrent use.
type Server struct {
	faults *fault.Injector
	log    *record.Recorder
	mux    *http.ServeMux

	mu sync.Mutex
	// revision is incremented by every change of a key and every lease grant.
	// A lease is identified by the revision of its grant.
	revision int64
	// keys holds the current value of every key.
	keys map[string]*api.KeyValue
	// history holds every change, ordered by revision.
	history []*api.Event
	// leases holds every lease by its identifier.
	leases map[int64]lease
	// changed is closed and replaced at every change of a key.
	changed chan struct{}
	// snapshot and snapshotRevision are the copies of keys and revision that
	// the last snapshot saved.
	snapshot         map[string]*api.KeyValue
	snapshotRevision int64
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// NewServer returns an empty server. The server counts its calls in r; f holds
// its active faults.
func NewServer(f *fault.Injector, r *record.Recorder) *Server {
	s := &Server{
		faults:  f,
		log:     r,
		mux:     http.NewServeMux(),
		keys:    make(map[string]*api.KeyValue),
		leases:  make(map[int64]lease),
		changed: make(chan struct{}),
	}
	s.mux.HandleFunc("POST /v3/kv/range", s.serveRange)
	s.mux.HandleFunc("POST /v3/kv/txn", s.serveTxn)
	s.mux.HandleFunc("POST /v3/lease/grant", s.serveGrant)
	s.mux.HandleFunc("POST /v3/lease/keepalive", s.serveKeepAlive)
	s.mux.HandleFunc("POST /v3/watch", s.serveWatch)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// ServeSnapshot saves a copy of all keys and the revision for ServeRestore.
func (s *Server) ServeSnapshot(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = maps.Clone(s.keys)
	s.snapshotRevision = s.revision
	w.WriteHeader(http.StatusNoContent)
}

// ServeRestore restores the keys and the revision of the last snapshot and
// discards the history, like a store that is restored from an old backup.
func (s *Server) ServeRestore(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys = maps.Clone(s.snapshot)
	s.revision = s.snapshotRevision
	s.history = nil
	s.notifyLocked()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	var q api.RangeRequest
	s.respond(w, r, &q, "read", func() proto.Message {
		l := s.rangeLocked(string(q.GetKey()), string(q.GetRangeEnd()))
		if q.GetKeysOnly() {
			l = withoutValues(l)
		}
		return &api.RangeResponse{Header: s.headerLocked(), Kvs: l, Count: int64(len(l))}
	})
}

func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	var q api.TxnRequest
	s.respond(w, r, &q, "write", func() proto.Message {
		ok := s.compareLocked(q.GetCompare())
		if ok {
			s.applyLocked(q.GetSuccess())
		}
		return &api.TxnResponse{Header: s.headerLocked(), Succeeded: ok}
	})
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var q api.LeaseGrantRequest
	if !decodeBody(w, r, &q) {
		return
	}
	s.log.Count("lease")
	d := time.Duration(q.GetTTL()) * time.Second
	s.mu.Lock()
	s.revision++
	i := s.revision
	s.leases[i] = lease{ttl: d, expiry: time.Now().Add(d)}
	s.mu.Unlock()
	writeMessage(w, &api.LeaseGrantResponse{ID: i, TTL: q.GetTTL()})
}

func (s *Server) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var q api.LeaseKeepAliveRequest
	s.respond(w, r, &q, "lease", func() proto.Message {
		l, ok := s.leases[q.GetID()]
		if ok {
			l.expiry = time.Now().Add(l.ttl)
			s.leases[q.GetID()] = l
		}
		p := &api.LeaseKeepAliveResponse{ID: q.GetID(), TTL: int64(l.ttl / time.Second)}
		return &api.LeaseKeepAliveResult{Result: p}
	})
}

// respond decodes the body of r into q, counts the call as kind and responds
// with the message that answer returns. It calls answer with s.mu held, after it
// has removed the expired leases.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, q proto.Message, kind string, answer func() proto.Message) {
	if !decodeBody(w, r, q) {
		return
	}
	s.log.Count(kind)
	s.mu.Lock()
	s.expireLocked()
	m := answer()
	s.mu.Unlock()
	writeMessage(w, m)
}

func (s *Server) headerLocked() *api.ResponseHeader {
	return &api.ResponseHeader{Revision: s.revision}
}

// rangeLocked returns the entries in the range that inRange defines for key and
// end, sorted by key.
func (s *Server) rangeLocked(key, end string) []*api.KeyValue {
	var l []*api.KeyValue
	for k, v := range s.keys {
		if inRange(k, key, end) {
			l = append(l, v)
		}
	}
	sort.Slice(l, func(i, j int) bool { return string(l[i].GetKey()) < string(l[j].GetKey()) })
	return l
}

// withoutValues returns copies of the entries in l without their values.
func withoutValues(l []*api.KeyValue) []*api.KeyValue {
	r := make([]*api.KeyValue, 0, len(l))
	for _, v := range l {
		r = append(r, &api.KeyValue{Key: v.GetKey(), ModRevision: v.GetModRevision(), Lease: v.GetLease()})
	}
	return r
}

// inRange reports whether k is in [key, end). An empty end selects only key; an
// end of one zero byte selects all keys from key on.
func inRange(k, key, end string) bool {
	switch end {
	case "":
		return k == key
	case "\x00":
		return k >= key
	default:
		return k >= key && k < end
	}
}

// compareLocked reports whether all comparisons in l hold. A comparison holds
// if the key was last modified at the expected revision. The revision of a
// missing key is 0.
func (s *Server) compareLocked(l []*api.Compare) bool {
	for _, c := range l {
		if s.keys[string(c.GetKey())].GetModRevision() != c.GetModRevision() {
			return false
		}
	}
	return true
}

func (s *Server) applyLocked(l []*api.RequestOp) {
	for _, o := range l {
		if p := o.GetRequestPut(); p != nil {
			s.putLocked(p)
		}
		if d := o.GetRequestDeleteRange(); d != nil {
			s.deleteLocked(string(d.GetKey()))
		}
	}
}

func (s *Server) putLocked(p *api.PutRequest) {
	s.revision++
	v := &api.KeyValue{Key: p.GetKey(), Value: p.GetValue(), ModRevision: s.revision, Lease: p.GetLease()}
	s.keys[string(p.GetKey())] = v
	s.appendEventLocked(&api.Event{Kv: v})
}

func (s *Server) deleteLocked(key string) {
	if s.keys[key] == nil {
		return
	}
	delete(s.keys, key)
	s.revision++
	v := &api.KeyValue{Key: []byte(key), ModRevision: s.revision}
	s.appendEventLocked(&api.Event{Type: api.Event_DELETE, Kv: v})
}

func (s *Server) appendEventLocked(e *api.Event) {
	s.history = append(s.history, e)
	s.notifyLocked()
}

func (s *Server) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLocked removes expired leases and their keys. The fault LapseLeases is
// the number of calls that remove all leases instead.
func (s *Server) expireLocked() {
	t := time.Now()
	a := s.faults.Consume("LapseLeases")
	for i, l := range s.leases {
		if a || l.expiry.Before(t) {
			delete(s.leases, i)
			s.revokeLocked(i)
		}
	}
}

// revokeLocked deletes the keys that are attached to the lease id.
func (s *Server) revokeLocked(id int64) {
	for k, v := range s.keys {
		if v.GetLease() == id {
			s.deleteLocked(k)
		}
	}
}

// decodeBody decodes the body of r into q. If that fails, it responds with
// status 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, q proto.Message) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = protojson.Unmarshal(b, q)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeMessage(w http.ResponseWriter, m proto.Message) {
	w.Header().Set("Content-Type", "application/json")
	b, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(append(b, '\n'))
}
