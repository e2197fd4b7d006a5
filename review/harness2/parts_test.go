//go:build review

package harness2

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["parts"] = playParts }

const (
	// poisonPart is the part of prompts that ends engines.
	poisonPart = "dead01"
	// crashesBeforeKill is the number of crashes before all hosts are killed, killPause the time
	// from the last of them to the kill, and downTime that to the next start.
	crashesBeforeKill = 4
	killPause         = 200 * time.Millisecond
	downTime          = 500 * time.Millisecond
	// stable is stableMs of the site. It is the time after which a host counts as in touch, and
	// that after the fifth crash from which on requests count.
	stable = 3 * time.Second
	// allowedRequests is the number of such requests that may reach runners after that.
	allowedRequests = 3
	// partDeadline is the time that a client of such a request waits.
	partDeadline = 3 * time.Second
)

// poisonTimes holds the times at which requests with the part are sent.
var poisonTimes = []time.Duration{
	0, 3400 * time.Millisecond, 6800 * time.Millisecond, 10200 * time.Millisecond,
	14200 * time.Millisecond, 17600 * time.Millisecond, 21000 * time.Millisecond, 24400 * time.Millisecond, 25100 * time.Millisecond,
	28500 * time.Millisecond, 31900 * time.Millisecond,
}

// crashLog holds the crashes of engines, in their order.
type crashLog struct {
	mu  sync.Mutex
	at  []time.Time
	ids []string
}

// playParts sends requests with a part of a prompt that ends engines. All hosts are killed
// right after the fourth crash.
func playParts(w *world) (bool, error) {
	c := &crashLog{}
	for i, g := range []string{"prefill", "decode", "decode", "decode", "decode"} {
		e, err := w.addEngine(fmt.Sprintf("i-llm%d", i), "v1", g)
		if err != nil {
			return false, err
		}
		e.poison = poisonPart
		e.onCrash = func(e *engine, id string) {
			c.mu.Lock()
			c.at, c.ids = append(c.at, time.Now()), append(c.ids, id)
			n := len(c.at)
			c.mu.Unlock()
			w.record("crash %d: %s ends under request %s", n, e.id, id)
		}
	}
	w.configure([]any{noteRoute, streamRoute}, []any{engineService})
	for range 3 {
		if _, err := w.addHost("reykjavik-a"); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	done := make(chan struct{})
	defer close(done)
	go w.sendSound(done)
	w.sendPoison(c)
	return w.judgeParts(c), nil
}

// sendSound sends sound requests until done is closed.
func (w *world) sendSound(done chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(time.Second):
		}
		c := &streamClient{world: w, name: fmt.Sprintf("%012x", 0x50000+i), ends: time.Now().Add(partDeadline)}
		go c.run(w.hosts[i%len(w.hosts)])
	}
}

// sendPoison sends the requests with the part, no two alike, and kills all hosts.
func (w *world) sendPoison(c *crashLog) {
	b := time.Now()
	for i, d := range poisonTimes {
		if i == crashesBeforeKill && w.trouble {
			w.killHosts()
		}
		time.Sleep(time.Until(b.Add(d)))
		h := w.hosts[i%len(w.hosts)]
		id := fmt.Sprintf("%016x", 0xdead0000+i)
		go func() {
			a := send(h.caller, request{
				id: id, method: http.MethodPost, path: fmt.Sprintf("/note/%d", i), body: "note " + id, deadline: partDeadline,
				header: fmt.Sprintf("Model: m\r\nToken-Counts: 700,8760\r\nPrompt-Prefix: %s:200,%s:500\r\n", poisonPart, id),
			})
			w.record("request %s, sent %.1f s after the first to %s: status %d, Retry-After %q, %v", id, d.Seconds(), h.name, a.status, a.header.Get("Retry-After"), a.err)
		}()
		if i == crashesBeforeKill-1 {
			w.awaitCrashes(c, crashesBeforeKill)
		}
	}
	time.Sleep(partDeadline)
}

// awaitCrashes waits for the given number of crashes, for a second at most.
func (w *world) awaitCrashes(c *crashLog, count int) {
	for e := time.Now().Add(time.Second); time.Now().Before(e); time.Sleep(time.Millisecond) {
		c.mu.Lock()
		n := len(c.at)
		c.mu.Unlock()
		if n >= count {
			return
		}
	}
}

func (w *world) killHosts() {
	time.Sleep(killPause)
	for _, h := range w.hosts {
		h.kill()
	}
	w.record("all hosts are killed")
	time.Sleep(downTime)
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			w.record("%s: %v", h.name, err)
		}
	}
	w.record("the hosts start again")
}

// judgeParts reports whether more requests than allowed reached runners later than stable after
// the fifth crash. All hosts had run for longer than that by then.
func (w *world) judgeParts(c *crashLog) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, t := range c.at {
		if len(c.at) >= 5 && t.Sub(c.at[4]) > stable {
			n++
		}
	}
	w.record("%d crashes; %d requests with the part ran later than %v after the fifth; %d are allowed", len(c.at), n, stable, allowedRequests)
	return n > allowedRequests
}

// noteRoute is a route whose streams may not be resumed.
var noteRoute = map[string]any{
	"name": "r-note", "host": hostName, "prefix": "/note/", "kind": "streaming", "timeoutMs": 14000, "sloMs": 900, "priority": 1,
	"service": "llm", "attempts": 1, "sticky": true, "canResume": false, "gapTargetMs": 300,
}
