//go:build review

package harness2

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items in a page of the store.
const pageItems = 500

// storeItem is an item of the store, or a deletion.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store. All answers show its current state.
type store struct {
	mu       sync.Mutex
	items    map[string]storeItem
	events   []storeItem
	revision int64
	leases   map[int64]*storeLease
	last     int64
	changed  chan struct{}
	// era counts the drills, and away is set during one.
	era  int
	away bool
	// cut is closed when the waiting watches are cut.
	cut chan struct{}
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

func newStore() *store {
	s := &store{items: make(map[string]storeItem), revision: 1, leases: make(map[int64]*storeLease), changed: make(chan struct{}), cut: make(chan struct{})}
	go s.expire()
	return s
}

// put writes a key as operators and runners do.
func (s *store) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(key, value, 0)
}

func (s *store) putLocked(key string, value []byte, lease int64) int64 {
	s.revision++
	i := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if o, ok := s.items[key]; ok {
		i.Created = o.Created
	}
	s.items[key] = i
	s.publishLocked(i)
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.publishLocked(storeItem{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) publishLocked(i storeItem) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases until the process ends.
func (s *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for n, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLocked(n)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLocked(lease int64) {
	delete(s.leases, lease)
	for k, i := range s.items {
		if i.Lease == lease {
			s.removeLocked(k)
		}
	}
}

// storeCopy is a copy of a store.
type storeCopy struct {
	items          map[string]storeItem
	events         []storeItem
	revision, last int64
	leases         map[int64]storeLease
	at             time.Time
}

// copy copies the store, with its leases.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{
		items: make(map[string]storeItem), events: append([]storeItem(nil), s.events...), revision: s.revision, last: s.last,
		leases: make(map[int64]storeLease), at: time.Now(),
	}
	for k, i := range s.items {
		c.items[k] = i
	}
	for n, l := range s.leases {
		c.leases[n] = *l
	}
	return c
}

// leave makes the store go away.
func (s *store) leave() {
	s.cutWatches()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
}

// restore has the store come back from a copy, in the next era. The leases of the copy go on with
// the time that they had left.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.events, s.revision, s.last = c.items, c.events, c.revision, c.last
	s.leases = make(map[int64]*storeLease)
	for n, l := range c.leases {
		s.leases[n] = &storeLease{ttl: l.ttl, expires: l.expires.Add(time.Since(c.at))}
	}
	s.era++
	s.away = false
}

// cutWatches cuts the watches that wait.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	e, a := s.era, s.away
	s.mu.Unlock()
	if a {
		panic(http.ErrAbortHandler)
	}
	if e > 0 {
		w.Header().Set("Store-Era", strconv.Itoa(e))
	}
	switch p := r.URL.Path; {
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
		s.serveKeep(w, number(p))
	case strings.HasPrefix(p, "/v1/kv-lease-end/"):
		s.mu.Lock()
		s.endLocked(number(p))
		s.mu.Unlock()
	case strings.HasPrefix(p, "/runner/"):
		s.serveRunner(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// number returns the number that ends path.
func number(path string) int64 {
	n, _ := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
	return n
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// serveRunner writes the entry of a runner. The way in which runners write is their own.
func (s *store) serveRunner(w http.ResponseWriter, r *http.Request) {
	var v json.RawMessage
	if json.NewDecoder(r.Body).Decode(&v) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.put("servers/"+strings.TrimPrefix(r.URL.Path, "/runner/"), v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]int64{"at": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		storeItem
		At int64 `json:"at"`
	}{i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := []storeItem{}
	for k, i := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			l = append(l, i)
		}
	}
	sort.Slice(l, func(a, b int) bool { return l[a].Key < l[b].Key })
	m := len(l) > pageItems
	if m {
		l = l[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": l, "hasMore": m, "at": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	a, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	n, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	t := time.After(time.Duration(n) * time.Millisecond)
	for {
		s.mu.Lock()
		l := []storeItem{}
		for _, e := range s.events {
			if e.Revision > a && strings.HasPrefix(e.Key, q.Get("prefix")) {
				l = append(l, e)
			}
		}
		v, c, x := s.revision, s.changed, s.cut
		s.mu.Unlock()
		if a > v {
			reply(w, http.StatusGone, map[string]int64{"at": v}) // of a store that came back from a copy
			return
		}
		if len(l) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": l, "at": v})
			return
		}
		select {
		case <-c:
		case <-x:
			panic(http.ErrAbortHandler)
		case <-t:
			reply(w, http.StatusOK, map[string]any{"events": l, "at": v})
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
	l, k := []storeItem{}, true
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		k = k && i.Revision == e.Revision
		if ok {
			l = append(l, i)
		}
	}
	if !k {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": l})
		return
	}
	for _, i := range t.Write {
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, i := range t.Write {
		s.putLocked(i.Key, i.Value, i.Lease)
	}
	for _, n := range t.Remove {
		s.removeLocked(n)
	}
	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var v struct {
		TTL int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&v) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d := max(time.Second, time.Duration(v.TTL)*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.leases[s.last] = &storeLease{ttl: d, expires: time.Now().Add(d)}
	reply(w, http.StatusOK, map[string]int64{"lease": s.last, "ttlMs": d.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, lease int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[lease]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}
