package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which a runner reports to the store.
const heartbeat = 1200 * time.Millisecond

// runner is a stand-in for a runner of a plain service.
type runner struct {
	id, service, zone string
	store             *store
	record            *record
	// work is the time that a request takes.
	work time.Duration
	born int64
	addr string
	http *http.Server

	mu       sync.Mutex
	draining bool
	sequence int64
	stopped  bool
	arrivals []arrival
}

// arrival is a request that has reached a runner.
type arrival struct {
	at time.Time
	id string
}

// entry is what a runner writes about itself.
type entry struct {
	Service    string `json:"service"`
	Addr       string `json:"addr"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	ColdLeftMs int    `json:"coldLeftMs"`
	Sequence   int64  `json:"sequence"`
	Born       int64  `json:"born"`
}

// newRunner starts a runner and registers it.
func newRunner(s *store, r *record, id, service, zone string, work time.Duration) *runner {
	v := &runner{id: id, service: service, zone: zone, store: s, record: r, work: work, born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp", freeAddress())
	check(err)
	v.addr = l.Addr().String()
	v.http = &http.Server{Handler: v}
	go func() { _ = v.http.Serve(l) }()
	v.report()
	go func() {
		for range time.Tick(heartbeat) {
			v.mu.Lock()
			k := v.stopped
			v.mu.Unlock()
			if k {
				return
			}
			v.report()
		}
	}()
	return v
}

// report writes the entry of the runner. It returns the time at which the store had it, or
// zero if the store gave no answer.
func (v *runner) report() time.Time {
	v.mu.Lock()
	v.sequence++
	e := entry{Service: v.service, Addr: v.addr, Zone: v.zone, Version: "1", Slots: 6, State: "ready", Sequence: v.sequence, Born: v.born}
	if v.draining {
		e.State = "draining"
	}
	v.mu.Unlock()
	if !v.store.put("servers/"+v.id, e) {
		return time.Time{}
	}
	return time.Now()
}

// drain makes the runner report that it is leaving, and returns when the store has that.
func (v *runner) drain() time.Time {
	v.mu.Lock()
	v.draining = true
	v.mu.Unlock()
	n := v.report()
	v.record.add("runner %s: the store has accepted draining", v.id)
	return n
}

// awaitDraining waits until the store has a report of the runner that it is draining, which it
// writes at its next heartbeat, and returns the time.
func (v *runner) awaitDraining() time.Time {
	for {
		v.store.mu.Lock()
		b := v.store.items["servers/"+v.id].Value
		v.store.mu.Unlock()
		if strings.Contains(string(b), "draining") {
			return time.Now()
		}
		time.Sleep(time.Millisecond)
	}
}

// awaitHeartbeat waits until the runner makes its next report, whether it arrives or not.
func (v *runner) awaitHeartbeat() {
	v.mu.Lock()
	n := v.sequence
	v.mu.Unlock()
	for m := n; m == n; time.Sleep(time.Millisecond) {
		v.mu.Lock()
		m = v.sequence
		v.mu.Unlock()
	}
}

// leave ends the runner.
func (v *runner) leave() {
	v.mu.Lock()
	v.stopped = true
	v.mu.Unlock()
	v.store.remove("servers/" + v.id)
	v.http.Close()
	v.record.add("runner %s: has left", v.id)
}

// ServeHTTP implements http.Handler.
func (v *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	d := v.draining
	v.mu.Unlock()
	if d {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", v.id)
		if d {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	i := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", i)
	if e := r.Header.Get("Expect-Instance"); e != "" && e != v.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.ReadAll(r.Body)
	v.mu.Lock()
	v.arrivals = append(v.arrivals, arrival{at: time.Now(), id: i})
	v.mu.Unlock()
	v.record.add("runner %s: runs %s (%s %s)", v.id, i, r.Method, r.URL.Path)
	select {
	case <-time.After(v.work):
	case <-r.Context().Done():
		v.record.add("runner %s: channel of %s closed", v.id, i)
		return
	}
	b := fmt.Sprintf("answer of %s to %s", v.id, i)
	w.Header().Set("Server-Stamp", "stamp."+v.id+"."+i)
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	_, _ = io.WriteString(w, b)
}

// ran returns the arrivals so far.
func (v *runner) ran() []arrival {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]arrival(nil), v.arrivals...)
}
