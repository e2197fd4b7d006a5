//go:build review

package harness2

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["taken"] = playTaken }

const (
	// takenEngines is the number of runners of each service. The first one prefills.
	takenEngines = 9
	// takenStreams is the number of streams before the kill of a host, which begin takenInterval
	// apart at the hosts in turn.
	takenStreams  = 120
	takenInterval = 15 * time.Millisecond
	// beginning is the number of streams that begin while others are taken up, beginInterval apart.
	beginning     = 20
	beginInterval = 50 * time.Millisecond
	// takenDeadline is the deadline of each stream, that of the sheets, and takenRetries the number
	// of retries of each client.
	takenDeadline = 14 * time.Second
	takenRetries  = 1
	// takenKill is the time from the last begin to the kill of a host, and takenDown the time for
	// which its process is down.
	takenKill = 2 * time.Second
	takenDown = time.Second
	// minTaken is the number of streams taken up from which on the rule counts.
	minTaken = 12
)

// takenServices are the services between which the streaming route is split, with the software
// version of their runners.
var takenServices = []struct{ name, version string }{{"llm", "v1"}, {"llm-b", "v2"}, {"llm-c", "v3"}}

// configureSplit writes a configuration whose streaming route is split evenly between takenServices.
func (w *world) configureSplit() {
	r := make(map[string]any)
	for k, v := range streamRoute {
		r[k] = v
	}
	delete(r, "service")
	var l, v []any
	for _, s := range takenServices {
		l = append(l, map[string]any{"service": s.name, "weight": 1})
		m := make(map[string]any)
		for k, v := range engineService {
			m[k] = v
		}
		m["name"] = s.name
		v = append(v, m)
	}
	r["split"] = l
	w.configure([]any{r}, v)
}

// playTaken runs streams on a route that is split between services whose runners have different
// software versions. One host is killed, and its clients take their streams up at the others.
func playTaken(w *world) (bool, error) {
	for _, s := range takenServices {
		for i := range takenEngines {
			g := "decode"
			if i == 0 {
				g = "prefill"
			}
			if _, err := w.addServer(fmt.Sprintf("i-%s-%d", s.name, i), s.version, g, s.name); err != nil {
				return false, err
			}
		}
	}
	w.configureSplit()
	for range 3 {
		if _, err := w.addHost("reykjavik-a"); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	var g sync.WaitGroup
	l := make([]*streamClient, takenStreams+beginning)
	n := rand.Uint32()
	begin := func(i int, h *host) {
		c := &streamClient{world: w, name: fmt.Sprintf("%08x%04x", n, i+1), ends: time.Now().Add(takenDeadline), retries: takenRetries}
		l[i] = c
		g.Go(func() { c.run(h) })
	}
	for i := range takenStreams {
		begin(i, w.hosts[i%len(w.hosts)])
		time.Sleep(takenInterval)
	}
	time.Sleep(takenKill)
	if w.trouble {
		w.hosts[0].kill()
		w.record("%s is killed", w.hosts[0].name)
	}
	b := time.Now()
	for i := range beginning {
		begin(takenStreams+i, w.hosts[1+i%2])
		time.Sleep(beginInterval)
	}
	if w.trouble {
		time.Sleep(time.Until(b.Add(takenDown)))
		if err := w.hosts[0].start(); err != nil {
			return false, err
		}
	}
	g.Wait()
	return w.judgeTaken(l)
}

// judgeTaken compares the share of the streams that went on with that of the new streams that began.
func (w *world) judgeTaken(clients []*streamClient) (bool, error) {
	var taken, on, began int
	for i, c := range clients {
		w.record("stream %s: statuses %v, parts %v, last event %d, complete %v", c.name, c.statuses, c.versions, c.last, c.whole)
		if i >= takenStreams && c.statuses[0] == 200 {
			began++
		}
		if len(c.statuses) > 1 && c.statuses[0] == 200 && i < takenStreams {
			taken++
			if c.statuses[1] == 200 {
				on++
			}
		}
	}
	w.record("%d of %d streams taken up again went on, %d of %d new ones began", on, taken, began, beginning)
	if w.trouble && taken < minTaken {
		return false, fmt.Errorf("%d streams were taken up", taken)
	}
	return taken >= minTaken && 2*on*beginning < began*taken, nil
}
