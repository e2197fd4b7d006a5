//go:build review

package harness

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// deadlyPath is the path of the request that crashes each server that runs it.
	deadlyPath = "/get/deadly"
	// deadlyTime is the time after which a server that has crashed is back.
	deadlyTime = 3 * time.Second
	// deadlyRetries is the number of retries that may reach servers.
	deadlyRetries = 3
	// touchTime is the bound stableMs.
	touchTime = 3 * time.Second
)

// deadlyRun records the requests that crash servers.
type deadlyRun struct {
	world *world
	// next is sent an element for each crash.
	next chan struct{}

	mu      sync.Mutex
	crashes []time.Time
}

// crash makes s crash under a request, for deadlyTime.
func (k *deadlyRun) crash(s *server, id string) {
	k.mu.Lock()
	k.crashes = append(k.crashes, time.Now())
	n := len(k.crashes)
	k.mu.Unlock()
	k.world.log("server %s crashes under %s, the %d. crash", s.id, id, n)
	s.crash()
	time.AfterFunc(deadlyTime, s.restart)
	k.next <- struct{}{}
}

// call sends a safe request and returns its status.
func (k *deadlyRun) call(c *http.Client, target, path, id string) (string, error) {
	q, err := http.NewRequestWithContext(k.world.ctx, http.MethodGet, "http://"+target+path, nil)
	if err != nil {
		return "", err
	}
	q.Host = "app.example"
	q.Header.Set("Attempt-Id", id)
	q.Header.Set("Deadline-Ms", "1500")
	p, err := c.Do(q)
	if err != nil {
		return "", err
	}
	defer p.Body.Close()
	_, err = io.Copy(io.Discard, p.Body)
	return strings.TrimSpace(p.Status + " " + p.Header.Get("Retry-After")), err
}

// runDeadly has a client send a request again and again that crashes each server that
// runs it. After the third crash all hosts are killed, and start again.
func runDeadly(w *world) error {
	w.store.put("op/config", configuration(7))
	k := &deadlyRun{world: w, next: make(chan struct{}, 100)}
	for i := range 8 {
		s := &server{world: w, id: fmt.Sprintf("i-a%d", i), service: "app", zone: "zone-a", version: "v1", slots: 6, work: 30 * time.Millisecond}
		s.onDeadly = k.crash
		if err := s.serve(); err != nil {
			return err
		}
	}
	for i := range 3 {
		if err := w.newHost(fmt.Sprintf("front-%d", i+1), "zone-a", 134).start(); err != nil {
			return err
		}
	}
	if err := w.waitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var g sync.WaitGroup
	for _, h := range w.hosts {
		g.Add(1)
		go func() {
			defer g.Done()
			c := newClient()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				_, _ = k.call(c, h.caller, "/get/a", fmt.Sprintf("sound-%s-%d", h.name, n))
			}
		}()
	}
	n := 0
	// send sends the request until the given number of crashes, or until end.
	send := func(crashes int, end time.Time) {
		c := newClient()
		for time.Now().Before(end) {
			k.mu.Lock()
			d := len(k.crashes) >= crashes
			k.mu.Unlock()
			if d {
				return
			}
			h := w.hosts[n%len(w.hosts)]
			n++
			s, err := k.call(c, h.caller, deadlyPath, fmt.Sprintf("deadly-%d", n))
			w.log("request deadly-%d at %s: %s %v", n, h.name, s, err)
			time.Sleep(700 * time.Millisecond)
		}
	}
	send(3, time.Now().Add(20*time.Second))
	k.mu.Lock()
	if len(k.crashes) < 3 {
		k.mu.Unlock()
		return fmt.Errorf("the request crashed %d servers", len(k.crashes))
	}
	third := k.crashes[2]
	k.mu.Unlock()
	if w.trouble {
		w.log("all hosts are killed")
		for _, h := range w.hosts {
			h.signal(syscall.SIGKILL)
		}
		for _, h := range w.hosts {
			h.wait(2 * time.Second)
		}
		time.Sleep(500 * time.Millisecond)
		for _, h := range w.hosts {
			if err := h.start(); err != nil {
				return err
			}
		}
		if err := w.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(touchTime + 200*time.Millisecond)
	w.log("all hosts have run for %v; the client goes on", touchTime)
	send(100, time.Now().Add(11*time.Second))
	close(stop)
	g.Wait()
	later := 0
	for _, t := range k.crashes {
		if t.After(third.Add(touchTime)) {
			later++
		}
	}
	w.log("%d servers crashed in all, %d of them under requests sent more than %v after the third crash", len(k.crashes), later, touchTime)
	if later > deadlyRetries {
		w.broken("BUDGET: a request that had crashed three servers reached servers %d times more, sent by machines in touch later than %v after the third crash", later, touchTime)
	}
	return nil
}
