//go:build review

package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for a runner: of a plain service if stage is empty, and a
// model runner otherwise.
type server struct {
	world   *world
	id      string
	service string
	zone    string
	version string
	slots   int
	// work is how long a plain request runs. eventGap is the time between two events,
	// and events their number.
	work     time.Duration
	eventGap time.Duration
	events   int
	address  string
	// onOrder, if set, decides about an order. It returns the status, or zero for no
	// answer.
	onOrder func(s *server, holder string, fence int64, stage string) int

	// onDeadly, if set, is called with a request that crashes the server.
	onDeadly func(s *server, id string)

	http *http.Server

	mu sync.Mutex
	// down is set while the server has crashed.
	down      bool
	stage     string
	state     string
	sequence  int64
	orders    int64
	born      int64
	runs      map[string]int
	completed map[string]bool
	handles   int
}

// serve starts s on a free loopback port and registers it every heartbeat.
func (s *server) serve() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.runs, s.completed = map[string]int{}, map[string]bool{}
	s.state = "ready"
	s.born = time.Now().UnixMilli()
	s.listen(l)
	go func() {
		t := time.NewTicker(1200 * time.Millisecond)
		defer t.Stop()
		for {
			s.register()
			select {
			case <-s.world.ctx.Done():
				s.http.Close()
				return
			case <-t.C:
			}
		}
	}()
	return nil
}

// drain makes s report that it is leaving. It goes on serving.
func (s *server) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.register()
}

// listen serves connections of l.
func (s *server) listen(l net.Listener) {
	v := &http.Server{Handler: s}
	s.http = v
	go func() { _ = v.Serve(l) }()
}

// crash ends the process: its connections are cut, and new ones are refused.
func (s *server) crash() {
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	go s.http.Close()
}

// restart starts s again under its name and address, as another process.
func (s *server) restart() {
	l, err := net.Listen("tcp", s.address)
	for err != nil && s.world.ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp", s.address)
	}
	if err != nil {
		return
	}
	s.mu.Lock()
	s.down, s.born, s.sequence, s.orders = false, time.Now().UnixMilli(), 0, 0
	s.mu.Unlock()
	s.listen(l)
	s.register()
}

func (s *server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// register writes the entry of s to the store.
func (s *server) register() {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.sequence++
	v := map[string]any{
		"service": s.service, "addr": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": s.state,
		"coldLeftMs": 0, "sequence": s.sequence, "born": s.born,
	}
	if s.stage != "" {
		v["stage"] = s.stage
		v["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	s.mu.Unlock()
	s.world.store.put("servers/"+s.id, v)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		panic(http.ErrAbortHandler)
	}
	d := r.Header.Get("Attempt-Id")
	if d != "" {
		w.Header().Set("Attempt-Id", d)
	}
	w.Header().Set("Instance-Id", s.id)
	if s.isDraining() {
		w.Header().Set("Server-Leaving", "1")
	}
	if e := r.Header.Get("Expect-Instance"); e != "" && e != s.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p := r.URL.Path
	switch {
	case p == "/health":
	case p == "/v1/report":
		s.report(w)
	case p == "/v1/order":
		s.order(w, r)
	case strings.HasPrefix(p, "/v1/kv-handle/"):
	case r.Header.Get("Stage") == "prefill":
		s.prefill(w, r)
	case s.stage != "":
		s.stream(w, r)
	default:
		s.plain(w, r)
	}
}

func (s *server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == "draining"
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	v := map[string]any{
		"stage": s.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": s.orders,
		"queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 90000, "kvHandles": 0, "runs": []any{},
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Stage, Holder string
		Fence, Expected          int64
	}
	_ = json.NewDecoder(r.Body).Decode(&o)
	n := s.onOrder(s, o.Holder, o.Fence, o.Stage)
	if n == 0 {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(n)
}

func (s *server) prefill(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	s.handles++
	h := s.handles
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"kvHandle":"%s%04x","tokens":100,"version":1}`, strings.TrimPrefix(s.id, "i-"), h)
}

// begin records that a request begins to run here.
func (s *server) begin(r *http.Request) {
	d := r.Header.Get("Attempt-Id")
	s.mu.Lock()
	s.runs[d]++
	s.mu.Unlock()
	s.world.log("server %s runs %s", s.id, d)
}

func (s *server) plain(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	s.begin(r)
	if s.onDeadly != nil && r.URL.Path == deadlyPath {
		time.Sleep(10 * time.Millisecond)
		s.onDeadly(s, r.Header.Get("Attempt-Id"))
	}
	time.Sleep(s.work)
	if s.isDown() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Stamp", s.id+"."+r.Header.Get("Attempt-Id"))
	fmt.Fprintf(w, "done %s %d", r.Header.Get("Attempt-Id"), n)
	s.mu.Lock()
	s.completed[r.Header.Get("Attempt-Id")] = true
	s.mu.Unlock()
}

func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.begin(r)
	w.Header().Set("Server-Stamp", s.id+"."+r.Header.Get("Attempt-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	f, _ := w.(http.Flusher)
	a, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	n := time.Now()
	for i := a + 1; i <= s.events; i++ {
		n = n.Add(s.eventGap)
		select {
		case <-r.Context().Done():
			s.world.log("server %s: %s was broken off by the router after event %d of %d", s.id, r.Header.Get("Attempt-Id"), i-1, s.events)
			return
		case <-time.After(time.Until(n)):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d/%d %s\n\n", i, s.version, i, s.events, r.Header.Get("Prompt-Prefix"))
		f.Flush()
	}
	s.mu.Lock()
	s.completed[r.Header.Get("Attempt-Id")] = true
	s.mu.Unlock()
}

// wasRun reports whether the server began to run the request.
func (s *server) wasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id] > 0
}
