//go:build review

package harness

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store. Value is sent as base64.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// state is what the store holds. It is copied for a later restore.
type state struct {
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]lease
	next     int64
	taken    time.Time
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store. It is linearizable and
// loses nothing, except in a drill.
type store struct {
	address string

	mu      sync.Mutex
	state   state
	changed chan struct{}
	away    bool
	era     int64
	copies  []state
}

func newStore() *store {
	s := &store{changed: make(chan struct{}), era: 1}
	s.state = state{revision: 100, items: map[string]item{}, leases: map[int64]lease{}, next: 1000}
	return s
}

// serve starts the store on a free loopback port. It copies its state every 100 ms
// and ends leases that are over.
func (s *store) serve(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	v := &http.Server{Handler: s}
	go func() { _ = v.Serve(l) }()
	go func() {
		t := time.NewTicker(20 * time.Millisecond)
		defer t.Stop()
		n := 0
		for {
			select {
			case <-ctx.Done():
				v.Close()
				return
			case <-t.C:
			}
			s.mu.Lock()
			s.expireLocked(time.Now())
			if n++; n%5 == 0 && !s.away {
				s.copies = append(s.copies, s.state.clone())
				if len(s.copies) > 200 {
					s.copies = s.copies[1:]
				}
			}
			s.mu.Unlock()
		}
	}()
	return nil
}

func (s state) clone() state {
	c := state{revision: s.revision, items: map[string]item{}, leases: map[int64]lease{}, next: s.next, taken: time.Now()}
	for k, v := range s.items {
		c.items[k] = v
	}
	for k, v := range s.leases {
		c.leases[k] = v
	}
	c.history = append(c.history, s.history...)
	return c
}

// drill makes the store unavailable for the given time. It comes back from its last
// copy that was taken before copyTime.
func (s *store) drill(away time.Duration, copyTime time.Time) (age time.Duration) {
	s.mu.Lock()
	s.away = true
	s.wakeLocked()
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copies[0]
	for _, k := range s.copies {
		if k.taken.Before(copyTime) {
			c = k
		}
	}
	age = time.Since(c.taken)
	s.state = c.clone()
	for k, v := range s.state.leases {
		// A lease that the copy holds goes on from the return.
		v.end = time.Now().Add(v.ttl)
		s.state.leases[k] = v
	}
	s.era++
	s.away = false
	s.wakeLocked()
	return age
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLocked(now time.Time) {
	if s.away {
		return
	}
	for i, l := range s.state.leases {
		if now.Before(l.end) {
			continue
		}
		delete(s.state.leases, i)
		for k, v := range s.state.items {
			if v.Lease == i {
				s.deleteLocked(k)
			}
		}
	}
}

func (s *store) deleteLocked(key string) {
	if _, ok := s.state.items[key]; !ok {
		return
	}
	delete(s.state.items, key)
	s.state.revision++
	s.state.history = append(s.state.history, item{Key: key, Revision: s.state.revision, Deleted: true})
	s.wakeLocked()
}

func (s *store) putLocked(key string, value []byte, lease int64) int64 {
	s.state.revision++
	i := item{Key: key, Value: value, Revision: s.state.revision, Created: s.state.revision, Lease: lease}
	if o, ok := s.state.items[key]; ok {
		i.Created = o.Created
	}
	s.state.items[key] = i
	s.state.history = append(s.state.history, i)
	s.wakeLocked()
	return s.state.revision
}

// put writes an entry as the operator or as a server does. It has no effect while the
// store is away.
func (s *store) put(key string, value any) bool {
	b, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.putLocked(key, b, 0)
	return true
}

// remove deletes an entry.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.away {
		s.deleteLocked(key)
	}
}

// get returns the value of an entry, or nil.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.items[key].Value
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isAway() {
		s.drop(w, r)
		return
	}
	p := r.URL.Path
	switch {
	case p == "/v1/kv-key":
		s.serveKey(w, r)
	case p == "/v1/kv-range":
		s.serveRange(w, r)
	case p == "/v1/kv-watch":
		s.serveWatch(w, r)
	case p == "/v1/kv-txn":
		s.serveTransaction(w, r)
	case p == "/v1/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(p, "/v1/kv-keep/"):
		s.serveKeep(w, r)
	case strings.HasPrefix(p, "/v1/kv-lease-end/"):
		s.serveLeaseEnd(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// drop gives no answer, as a store that is away.
func (s *store) drop(w http.ResponseWriter, r *http.Request) {
	for s.isAway() && r.Context().Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	panic(http.ErrAbortHandler)
}

func (s *store) reply(w http.ResponseWriter, era int64, status int, body any) {
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.state.items[r.URL.Query().Get("key")]
	n, e := s.state.revision, s.era
	s.mu.Unlock()
	if !ok {
		s.reply(w, e, http.StatusNotFound, map[string]any{"at": n})
		return
	}
	s.reply(w, e, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "at": n})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	p, a := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	l := []item{}
	for k, v := range s.state.items {
		if strings.HasPrefix(k, p) && k > a {
			l = append(l, v)
		}
	}
	n, e := s.state.revision, s.era
	s.mu.Unlock()
	sort.Slice(l, func(i, j int) bool { return l[i].Key < l[j].Key })
	m := len(l) > 500
	if m {
		l = l[:500]
	}
	s.reply(w, e, http.StatusOK, map[string]any{"items": l, "hasMore": m, "at": n})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p := q.Get("prefix")
	a, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	d, _ := strconv.Atoi(q.Get("waitMs"))
	t := time.NewTimer(time.Duration(d) * time.Millisecond)
	defer t.Stop()
	for {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			s.drop(w, r)
			return
		}
		n, e, c := s.state.revision, s.era, s.changed
		l := []item{}
		for _, i := range s.state.history {
			if i.Revision > a && strings.HasPrefix(i.Key, p) {
				l = append(l, i)
			}
		}
		s.mu.Unlock()
		if a > n {
			s.reply(w, e, http.StatusGone, map[string]any{"at": n})
			return
		}
		if len(l) > 0 {
			s.reply(w, e, http.StatusOK, map[string]any{"events": l, "at": n})
			return
		}
		select {
		case <-c:
		case <-t.C:
			s.reply(w, e, http.StatusOK, map[string]any{"events": l, "at": n})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Write []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"write"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	s.expireLocked(time.Now())
	m := []item{}
	f := false
	for _, c := range t.Expected {
		i := s.state.items[c.Key]
		f = f || i.Revision != c.Revision
		if i.Key != "" {
			m = append(m, i)
		}
	}
	if f {
		s.reply(w, s.era, http.StatusPreconditionFailed, map[string]any{"items": m})
		return
	}
	for _, c := range t.Write {
		if _, ok := s.state.leases[c.Lease]; c.Lease != 0 && !ok {
			s.reply(w, s.era, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, c := range t.Write {
		s.putLocked(c.Key, c.Value, c.Lease)
	}
	for _, k := range t.Remove {
		s.deleteLocked(k)
	}
	s.reply(w, s.era, http.StatusOK, map[string]any{"revision": s.state.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTL int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	d := time.Duration(max(1000, b.TTL)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.next++
	s.state.leases[s.state.next] = lease{ttl: d, end: time.Now().Add(d)}
	s.reply(w, s.era, http.StatusOK, map[string]any{"lease": s.state.next, "ttlMs": d.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/v1/kv-keep/"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(time.Now())
	l, ok := s.state.leases[n]
	if !ok {
		s.reply(w, s.era, http.StatusNotFound, map[string]any{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	s.state.leases[n] = l
	s.reply(w, s.era, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/v1/kv-lease-end/"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.state.leases[n]; ok {
		l.end = time.Time{}
		s.state.leases[n] = l
		s.expireLocked(time.Now())
	}
	s.reply(w, s.era, http.StatusOK, map[string]any{})
}
