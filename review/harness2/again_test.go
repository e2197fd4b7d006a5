//go:build review

package harness2

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["again"] = playAgain }

const (
	// deadlyPath is the path of the request that ends runners.
	deadlyPath = "/entry/2f"
	// deadlyInterval is the time from one such request to the next.
	deadlyInterval = 4200 * time.Millisecond
	// deadlyRequests is the number of such requests.
	deadlyRequests = 10
	// allowedRetries is the number of retries that may reach runners later than stable after the
	// third crash.
	allowedRetries = 3
)

// playAgain sends one request that ends runners again and again. All hosts are killed after the
// second and after the fourth crash.
func playAgain(w *world) (bool, error) {
	c := &crashLog{}
	for i := range 4 {
		e, err := w.addServer(fmt.Sprintf("i-app%d", i), "v1", "", "app")
		if err != nil {
			return false, err
		}
		e.poison = deadlyPath
		e.onCrash = func(e *engine, id string) {
			c.mu.Lock()
			c.at, c.ids = append(c.at, time.Now()), append(c.ids, id)
			n := len(c.at)
			c.mu.Unlock()
			w.record("crash %d: %s ends under request %s", n, e.id, id)
		}
	}
	w.configure([]any{plainRoute("r-entry", "/entry/", "unsafe", 1), plainRoute("r-lookup", "/lookup/", "safe", 2)}, []any{plainService})
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
	go w.sendLookups(done)
	for i := range deadlyRequests {
		w.sendDeadly(i)
		if w.trouble && (i == 1 || i == 3) {
			w.killHosts()
		}
	}
	return w.judgeAgain(c), nil
}

// sendLookups sends sound requests until done is closed.
func (w *world) sendLookups(done chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		h := w.hosts[i%len(w.hosts)]
		go send(h.caller, request{id: fmt.Sprintf("%016x", 0x700000+i), method: http.MethodGet, path: fmt.Sprintf("/lookup/%d", i), deadline: 1500 * time.Millisecond})
	}
}

// sendDeadly sends the request for the i-th time and waits for the time of the next one.
func (w *world) sendDeadly(i int) {
	time.Sleep(deadlyInterval - killPause - downTime)
	h := w.hosts[i%len(w.hosts)]
	id := fmt.Sprintf("%016x", 0xdead0000+i)
	a := send(h.caller, request{id: id, method: http.MethodPost, path: deadlyPath, body: "the same body", deadline: 1500 * time.Millisecond})
	w.record("request %s to %s: status %d, Retry-After %q, %v", id, h.name, a.status, a.header.Get("Retry-After"), a.err)
}

// judgeAgain reports whether more retries than allowed reached runners later than stable after
// the third crash.
func (w *world) judgeAgain(c *crashLog) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, t := range c.at {
		if len(c.at) >= 3 && t.Sub(c.at[2]) > stable {
			n++
		}
	}
	w.record("%d crashes; %d retries ran later than %v after the third; %d are allowed", len(c.at), n, stable, allowedRetries)
	return n > allowedRetries
}
