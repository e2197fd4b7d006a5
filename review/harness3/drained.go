package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drained"] = drained }

const (
	domain  = "app.example"
	service = "dagbok-app"
	zoneA   = "reykjavik-a"
	zoneB   = "akureyri-b"
	// drainTime, stableTime and slack are the bounds of the deployment.
	drainTime  = 2 * time.Second
	stableTime = 3 * time.Second
)

// configuration returns the operator's configuration.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "entry-post", "host": domain, "prefix": "/post/", "kind": "unsafe", "service": service, "timeoutMs": 800, "sloMs": 150, "attempts": 1, "priority": 2},
			{"name": "log-lookup", "host": domain, "prefix": "/look/", "kind": "safe", "service": service, "timeoutMs": 800, "sloMs": 150, "attempts": 2, "priority": 2},
		},
		"services": []map[string]any{{"name": service, "healthPath": "/health"}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 1 << 20, "headerMs": 10000, "idleMs": 10000},
	}
}

// drained has the store come back from a copy in which a runner that is draining is ready, and
// restarts a host after the runner has reported again that it is draining.
func drained(r *run) (bool, string) {
	s := r.store
	s.put("op/config", configuration(7))
	var l []*runner
	for _, n := range []string{"i-aaaa0001", "i-bbbb0002", "i-cccc0003", "i-dddd0004"} {
		l = append(l, newRunner(s, r.record, n, service, zoneA, 30*time.Millisecond))
	}
	x := l[1]
	a := []*gateway{r.host("front-reykjavik-a-1", zoneA), r.host("front-reykjavik-a-2", zoneA), r.host("front-reykjavik-a-3", zoneA), r.host("front-akureyri-b-1", zoneB), r.host("front-akureyri-b-2", zoneB)}
	for _, h := range a {
		h.start()
	}
	awaitReady(a...)
	time.Sleep(4 * time.Second)
	c := s.copy()
	time.Sleep(1500 * time.Millisecond)
	x.drain()
	time.Sleep(2 * time.Second)
	if r.disturbs {
		r.record.add("store: away")
		s.goAway()
		x.awaitHeartbeat()
		time.Sleep(100 * time.Millisecond)
		s.comeBack(&c)
		r.record.add("store: back from a copy that is 3.5 s old")
		x.awaitDraining()
		r.record.add("runner %s: the store has accepted draining again", x.id)
		s.put("op/config", configuration(7))
	}
	time.Sleep(stableTime + 500*time.Millisecond)
	x.awaitHeartbeat()
	time.Sleep(10 * time.Millisecond)
	accepted := time.Now()
	r.record.add("runner %s: the store, stable again for %v, has accepted draining once more", x.id, stableTime)
	n := a[:1]
	n[0].signal(syscall.SIGTERM)
	<-n[0].done
	n[0].start()
	awaitReady(n...)
	time.Sleep(stableTime + 500*time.Millisecond)
	t := time.Now()
	if r.disturbs {
		go x.leaveAfter(t)
	}
	var g sync.WaitGroup
	answers := make([]result, 24)
	for i := range answers {
		g.Add(1)
		go func() {
			defer g.Done()
			answers[i] = call(r.record, n[0], http.MethodPost, domain, "/post/x", 1500*time.Millisecond)
		}()
		time.Sleep(5 * time.Millisecond)
	}
	g.Wait()
	lost := 0
	for _, p := range answers {
		if p.status != http.StatusOK {
			lost++
		}
	}
	late := 0
	for _, e := range x.ran() {
		if e.at.Sub(accepted) > drainTime && e.at.After(t) {
			late++
			r.record.add("DRAIN: %s has reached runner %s %.1f s after the store accepted that it is draining", e.id, x.id, e.at.Sub(accepted).Seconds())
		}
	}
	if late > 0 {
		return false, fmt.Sprintf("DRAIN broken: %d requests reached a runner later than drainMs after the confirmation that it is draining; %d postings have no answer of a runner", late, lost)
	}
	return true, "DRAIN held"
}
