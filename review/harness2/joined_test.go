//go:build review

package harness2

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["joined"] = playJoined }

const (
	// oldStreams and newStreams are the numbers of streams that begin before and after the start
	// of the canary, every streamInterval, and joinedDeadline the time that their clients wait.
	// The old engine has memory for seven.
	oldStreams     = 7
	newStreams     = 8
	streamInterval = 100 * time.Millisecond
	joinedDeadline = 14 * time.Second
	// beginAfter, drainAfter, killAfterCanary and startAfterKill are the times from the start of
	// the canary to the streams, to its drain and to the kill of all hosts, and from there to
	// their next start. storeAway is the time for which the store is away.
	beginAfter      = 800 * time.Millisecond
	drainAfter      = 1800 * time.Millisecond
	killAfterCanary = 4 * time.Second
	startAfterKill  = 1200 * time.Millisecond
	storeAway       = time.Second
)

// playJoined starts an engine of a newer version for some seconds, in which it begins streams.
// When it has left, all hosts are killed, and the store comes back from a copy of the time
// before it.
func playJoined(w *world) (bool, error) {
	for i, g := range []string{"prefill", "decode"} {
		if _, err := w.addEngine(fmt.Sprintf("i-old%d", i), "v1", g); err != nil {
			return false, err
		}
	}
	w.configure([]any{streamRoute}, []any{engineService})
	for range 3 {
		if _, err := w.addHost("reykjavik-a"); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	var g sync.WaitGroup
	l := w.startStreams(&g, 0xc0de00, oldStreams)
	o := w.store.copy()
	b := time.Now()
	e, err := w.addEngine("i-new", "v2", "decode")
	if err != nil {
		return false, err
	}
	w.record("i-new (v2) starts")
	time.Sleep(time.Until(b.Add(beginAfter)))
	l = append(l, w.startStreams(&g, 0xc0ffee00, newStreams)...)
	time.Sleep(time.Until(b.Add(drainAfter)))
	e.drain()
	w.record("i-new is draining")
	time.Sleep(time.Until(b.Add(killAfterCanary)))
	w.killAll(e, o)
	g.Wait()
	return w.judgeJoined(l), nil
}

// startStreams starts count streams, whose names follow first.
func (w *world) startStreams(g *sync.WaitGroup, first, count int) []*streamClient {
	var l []*streamClient
	for i := range count {
		c := &streamClient{world: w, name: fmt.Sprintf("%012x", first+i), ends: time.Now().Add(joinedDeadline)}
		l = append(l, c)
		g.Go(func() { c.run(w.hosts[i%len(w.hosts)]) })
		time.Sleep(streamInterval)
	}
	return l
}

// killAll kills all hosts. The engine leaves, and the store comes back from the copy while the
// hosts are down.
func (w *world) killAll(e *engine, o storeCopy) {
	for _, h := range w.hosts {
		h.kill()
	}
	b := time.Now()
	w.record("all hosts are killed")
	e.leave()
	w.record("i-new has left")
	if w.trouble {
		w.store.leave()
		time.Sleep(storeAway)
		w.store.restore(o)
		w.record("the store is back from a copy that is %v old", time.Since(o.at).Round(time.Millisecond))
	}
	time.Sleep(time.Until(b.Add(startAfterKill)))
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			w.record("%s: %v", h.name, err)
		}
	}
	w.record("the hosts start again")
}

// judgeJoined reports whether more than two streams hold events of two versions.
func (w *world) judgeJoined(l []*streamClient) bool {
	n := 0
	for _, c := range l {
		if len(c.versions) > 1 {
			n++
		}
		w.record("%s: statuses %v, whole %v, %d events, versions from event: %v", c.name, c.statuses, c.whole, c.last, c.versions)
	}
	w.record("%d of %d streams hold events of two versions; 2 are allowed", n, len(l))
	return n > 2
}
