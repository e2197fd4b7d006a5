package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the stand-in for the platform's store, as the pages state them.
const (
	maxWatch     = 30 * time.Second
	pageItems    = 500
	leaseSweep   = 20 * time.Millisecond
	firstVersion = 1
)

// item is an entry of the store, or the removal of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of keys.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// state is what a copy of the store holds.
type state struct {
	items    map[string]item
	leases   map[int64]lease
	revision int64
	number   int64
}

func (s state) clone() state {
	s.items, s.leases = maps.Clone(s.items), maps.Clone(s.leases)
	return s
}

// store is a stand-in for the platform's store.
type store struct {
	mu sync.Mutex
	state
	era     int64
	history []item
	// from is the revision after which history is complete.
	from    int64
	changed chan struct{}
	// away is not nil while the store gives no answers, and closed when it is back.
	away chan struct{}
}

func newStore() *store {
	s := &store{state: state{items: map[string]item{}, leases: map[int64]lease{}, revision: firstVersion}, changed: make(chan struct{})}
	s.from = s.revision
	go s.sweep()
	return s
}

// sweep ends leases.
func (s *store) sweep() {
	for range time.Tick(leaseSweep) {
		s.mu.Lock()
		n := time.Now()
		for i, l := range s.leases {
			if s.away == nil && n.After(l.ends) {
				s.endLeaseLocked(i)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLeaseLocked(i int64) {
	delete(s.leases, i)
	for k, e := range s.items {
		if e.Lease == i {
			s.changeLocked(item{Key: k, Deleted: true})
		}
	}
}

// changeLocked applies e in a revision of its own.
func (s *store) changeLocked(e item) { s.applyLocked(e, s.nextLocked()) }

func (s *store) nextLocked() int64 {
	s.revision++
	return s.revision
}

func (s *store) applyLocked(e item, revision int64) {
	e.Revision = revision
	if e.Deleted {
		delete(s.items, e.Key)
	} else {
		e.Created = revision
		if o, ok := s.items[e.Key]; ok {
			e.Created = o.Created
		}
		s.items[e.Key] = e
	}
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as an operator or a runner does, and returns when the store has it.
func (s *store) put(key string, value any) bool {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away != nil {
		return false
	}
	s.changeLocked(item{Key: key, Value: b})
	return true
}

// remove removes a key as the platform does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.changeLocked(item{Key: key, Deleted: true})
	}
}

// copy returns a copy of the store.
func (s *store) copy() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clone()
}

// goAway makes the store give no answers.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away == nil {
		s.away = make(chan struct{})
	}
}

// comeBack makes the store answer again, from the given copy unless it is nil.
func (s *store) comeBack(from *state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from != nil {
		s.state = from.clone()
		s.era++
		s.history, s.from = nil, s.revision
		close(s.changed)
		s.changed = make(chan struct{})
	}
	n := time.Now()
	for i, l := range s.leases {
		l.ends = n.Add(l.ttl)
		s.leases[i] = l
	}
	if s.away != nil {
		close(s.away)
		s.away = nil
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	a, e := s.away, s.era
	s.mu.Unlock()
	if a != nil {
		select {
		case <-a:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler) // the call gets no answer
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(e, 10))
	switch p := r.URL.Path; {
	case p == "/v1/kv-key":
		s.serveKey(w, r)
	case p == "/v1/kv-range":
		s.serveRange(w, r)
	case p == "/v1/kv-watch":
		s.serveWatch(w, r, e)
	case p == "/v1/kv-txn":
		s.serveTransaction(w, r)
	case p == "/v1/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(p, "/v1/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(p, "/v1/kv-keep/"))
	case strings.HasPrefix(p, "/v1/kv-lease-end/"):
		s.serveEnd(w, strings.TrimPrefix(p, "/v1/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	e, ok := s.items[r.URL.Query().Get("key")]
	n := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"at": n})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{e, n})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	l := []item{}
	for k, e := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			l = append(l, e)
		}
	}
	n := s.revision
	s.mu.Unlock()
	slices.SortFunc(l, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	m := len(l) > pageItems
	answer(w, http.StatusOK, map[string]any{"items": l[:min(len(l), pageItems)], "hasMore": m, "at": n})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, era int64) {
	q := r.URL.Query()
	b, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	d, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	t := time.NewTimer(min(maxWatch, time.Duration(d)*time.Millisecond))
	defer t.Stop()
	for {
		s.mu.Lock()
		c, a, n := s.changed, s.away, s.revision
		if s.era != era || b < s.from || b > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		l := []item{}
		for _, e := range s.history {
			if e.Revision > b && strings.HasPrefix(e.Key, q.Get("prefix")) {
				l = append(l, e)
			}
		}
		s.mu.Unlock()
		if a != nil {
			panic(http.ErrAbortHandler)
		}
		if len(l) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": l, "at": n})
			return
		}
		select {
		case <-c:
		case <-t.C:
			answer(w, http.StatusOK, map[string]any{"events": l, "at": n})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a write.
type transaction struct {
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

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := []item{}, true
	for _, e := range t.Expected {
		c, k := s.items[e.Key]
		if !k {
			c = item{Key: e.Key}
		}
		ok = ok && c.Revision == e.Revision
		l = append(l, c)
	}
	if !ok {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": l})
		return
	}
	for _, e := range t.Write {
		if _, ok := s.leases[e.Lease]; e.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	n := s.nextLocked()
	for _, e := range t.Write {
		s.applyLocked(item{Key: e.Key, Value: e.Value, Lease: e.Lease}, n)
	}
	for _, k := range t.Remove {
		if _, ok := s.items[k]; ok {
			s.applyLocked(item{Key: k, Deleted: true}, n)
		}
	}
	answer(w, http.StatusOK, map[string]any{"revision": n})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d := max(time.Second, time.Duration(q.TTL)*time.Millisecond)
	s.mu.Lock()
	s.number++
	i := s.number
	s.leases[i] = lease{ttl: d, ends: time.Now().Add(d)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": i, "ttlMs": d.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, id string) {
	i, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	l, ok := s.leases[i]
	if ok {
		l.ends = time.Now().Add(l.ttl)
		s.leases[i] = l
	}
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, map[string]any{"lease": i, "ttlMs": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, id string) {
	i, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	s.endLeaseLocked(i)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{})
}
