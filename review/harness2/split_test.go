//go:build review

package harness2

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["split"] = func(w *world) (bool, error) { return playSplit(w, splitRoute, nil, w.killFirst) }
	cases["moved"] = func(w *world) (bool, error) { return playSplit(w, routeTo("llm"), routeTo("llm-b"), w.killFirst) }
	cases["replaced"] = func(w *world) (bool, error) { return playSplit(w, routeTo("llm"), routeTo("llm-b"), w.retireFirst) }
}

const (
	// splitStreams is the number of streams, which begin splitInterval apart at the hosts in turn.
	splitStreams  = 36
	splitInterval = 20 * time.Millisecond
	// splitDeadline is the deadline of each stream, that of the sheets.
	splitDeadline = 14 * time.Second
	// splitWait is the time from the last begin to the disruption, splitDown the time for which the
	// process of a host is down, and splitDrain that for which a runner serves after it has said that it
	// is leaving.
	splitWait  = 2 * time.Second
	splitDown  = time.Second
	splitDrain = 2200 * time.Millisecond
)

// splitRoute is a streaming route that is split between two services.
var splitRoute = map[string]any{
	"name": "r-summary", "host": hostName, "prefix": "/summary/", "kind": "streaming", "timeoutMs": 14000, "sloMs": 900, "priority": 1,
	"split":    []any{map[string]any{"service": "llm", "weight": 50}, map[string]any{"service": "llm-b", "weight": 50}},
	"attempts": 2, "sticky": true, "canResume": true, "gapTargetMs": 300,
}

// routeTo returns the same route to one service.
func routeTo(service string) any {
	m := map[string]any{}
	for k, v := range splitRoute {
		m[k] = v
	}
	delete(m, "split")
	m["service"] = service
	return m
}

// splitService returns the engine service with the given name.
func splitService(name string) any {
	m := map[string]any{}
	for k, v := range engineService {
		m[k] = v
	}
	m["name"] = name
	return m
}

// killFirst kills the first host, which starts again.
func (w *world) killFirst([]*engine) error {
	h := w.hosts[0]
	h.kill()
	w.record("%s is killed", h.name)
	time.Sleep(splitDown)
	return h.start()
}

// retireFirst empties the runners of the first service and takes them away.
func (w *world) retireFirst(runners []*engine) error {
	for _, e := range runners {
		e.drain()
	}
	w.record("the runners of llm are leaving")
	time.Sleep(splitDrain)
	for _, e := range runners {
		e.leave()
	}
	w.record("the runners of llm have left")
	return nil
}

// playSplit runs streams on a route to two services, whose runners have different software versions: it
// is split between them, or moves from one to the other if after is not nil. Then disturb, which gets the
// runners of the first service, breaks streams off, and the clients take them up.
func playSplit(w *world, before, after any, disturb func([]*engine) error) (bool, error) {
	r := make(map[string][]*engine)
	for _, s := range []struct{ service, version string }{{"llm", "v1"}, {"llm-b", "v2"}} {
		for i, g := range []string{"prefill", "decode", "decode"} {
			e, err := w.addServer(fmt.Sprintf("i-%s-%d", s.service, i), s.version, g, s.service)
			if err != nil {
				return false, err
			}
			r[s.service] = append(r[s.service], e)
		}
	}
	v := []any{splitService("llm"), splitService("llm-b")}
	w.configure([]any{before}, v)
	for range 3 {
		if _, err := w.addHost("reykjavik-a"); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	l := make([]*streamClient, splitStreams)
	var g sync.WaitGroup
	for i := range l {
		c := &streamClient{world: w, name: fmt.Sprintf("%012x", i+1), ends: time.Now().Add(splitDeadline), unnamed: true}
		l[i] = c
		g.Go(func() { c.run(w.hosts[i%len(w.hosts)]) })
		time.Sleep(splitInterval)
	}
	if after != nil {
		w.configure([]any{after}, v)
	}
	time.Sleep(splitWait)
	if w.trouble {
		if err := disturb(r["llm"]); err != nil {
			return false, err
		}
	}
	g.Wait()
	return w.judgeSplit(l)
}

// judgeSplit reports whether a stream has parts of two versions. It fails if too few streams were served.
func (w *world) judgeSplit(clients []*streamClient) (bool, error) {
	joined, whole := 0, 0
	for _, c := range clients {
		s := ""
		if len(c.versions) > 1 {
			joined++
			s = " JOINED"
		}
		if c.whole {
			whole++
		}
		w.record("stream %s: statuses %v, first event and version of each part %v, last event %d, complete %v%s", c.name, c.statuses, c.versions, c.last, c.whole, s)
	}
	w.record("%d streams, %d complete, %d joined from two versions", len(clients), whole, joined)
	if whole < len(clients)/2 {
		return false, fmt.Errorf("%d of %d streams were served", whole, len(clients))
	}
	return joined > 0, nil
}
