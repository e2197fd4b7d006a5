//go:build review

package harness

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// streamClients is the number of clients, each with one kept channel.
	streamClients = 6
	// streamEvents and streamGap make a stream of six seconds. The site has up to 130
	// events in a stream, of 73 tokens each, and a step takes 0.588 ms and more.
	streamEvents = 120
	streamGap    = 50 * time.Millisecond
	// firstLead is the time from the begin of the first streams to the SIGTERM. They
	// end more than three seconds after it.
	firstLead = 3010 * time.Millisecond
	// afterTime is the time after the SIGTERM within which the rule excuses requests.
	afterTime = 3 * time.Second
	// lookupUse is the time for which clients use an answer of the lookup: three times
	// its ttlS, which is 1.
	lookupUse = 3 * time.Second
)

// streamClient is a client that keeps one channel.
type streamClient struct {
	world  *world
	http   *http.Client
	target string
}

// streamResult is what a client has seen of a stream.
type streamResult struct {
	status, events int
	complete       bool
	sent, ended    time.Time
	err            error
}

// stream sends a streaming request that must not be resumed, and reads its answer to
// the end.
func (c *streamClient) stream(id string) (r streamResult) {
	defer func() { r.ended = time.Now() }()
	q, err := http.NewRequestWithContext(c.world.ctx, http.MethodPost, "http://"+c.target+"/note/a", strings.NewReader("prompt of "+id))
	if err != nil {
		return streamResult{err: err}
	}
	q.Host, q.GetBody = "app.example", nil
	for k, v := range map[string]string{
		"Attempt-Id": id, "Model": "m", "Token-Counts": fmt.Sprintf("1000,%d", streamEvents*73), "Length-Hint": fmt.Sprint(streamEvents * 73),
		"Prompt-Prefix": id + "aa:200," + id + "bb:800", "Deadline-Ms": "14000",
	} {
		q.Header.Set(k, v)
	}
	r.sent = time.Now()
	p, err := c.http.Do(q)
	if err != nil {
		r.err = err
		return r
	}
	defer p.Body.Close()
	r.status = p.StatusCode
	b := bufio.NewReader(p.Body)
	for {
		l, err := b.ReadString('\n')
		if strings.HasPrefix(l, "id: ") {
			r.events++
		}
		if err != nil {
			r.complete = errors.Is(err, io.EOF) && (r.status != http.StatusOK || r.events == streamEvents)
			if !errors.Is(err, io.EOF) {
				r.err = err
			}
			return r
		}
	}
}

// listed reports whether the directory of h lists other.
func (h *host) listed(other *host) bool {
	p, err := newClient().Get("http://" + h.lookup + "/v1/lookup?name=app.example&region=region&zone=" + h.zone)
	if err != nil {
		return false
	}
	defer p.Body.Close()
	var v struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttlS"`
	}
	_ = json.NewDecoder(p.Body).Decode(&v)
	for _, a := range v.Addresses {
		if a == other.caller {
			h.world.log("lookup at %s: lists %s, for %.1f s", h.name, other.name, v.TTLS)
			return true
		}
	}
	h.world.log("lookup at %s: does not list %s", h.name, other.name)
	return false
}

// runStop stops a host by SIGTERM while its clients have streams. Each stream ends more
// than three seconds later, and its client sends the next request on its kept channel
// at once. The host takes it.
func runStop(w *world) error {
	w.store.put("op/config", configuration(7))
	var servers []*server
	for i, s := range []string{"prefill", "decode", "decode", "decode"} {
		v := &server{world: w, id: fmt.Sprintf("i-e%d", i), service: "llm", zone: "zone-a", version: "v1", slots: 24, stage: s, eventGap: streamGap, events: streamEvents}
		v.onOrder = func(*server, string, int64, string) int { return http.StatusConflict }
		if err := v.serve(); err != nil {
			return err
		}
		servers = append(servers, v)
	}
	last := servers[len(servers)-1]
	a, b := w.newHost("front-1", "zone-a", 134), w.newHost("front-2", "zone-a", 134)
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	if err := w.waitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	var g sync.WaitGroup
	var stopped time.Time
	second := make([]streamResult, streamClients)
	failed := make(chan error, streamClients)
	n := time.Now()
	for i := range streamClients {
		g.Add(1)
		go func() {
			defer g.Done()
			c := &streamClient{world: w, http: newClient(), target: a.caller}
			r := c.stream(fmt.Sprintf("c%da", i))
			w.log("client %d: first stream: status %d, %d of %d events, complete: %v, error: %v", i, r.status, r.events, streamEvents, r.complete, r.err)
			if !r.complete || r.status != http.StatusOK {
				failed <- fmt.Errorf("first stream of client %d: %+v", i, r)
				return
			}
			w.log("client %d: sends the next request on its kept channel", i)
			second[i] = c.stream(fmt.Sprintf("c%db", i))
			r = second[i]
			w.log("client %d: second stream: status %d, %d of %d events, complete: %v, error: %v", i, r.status, r.events, streamEvents, r.complete, r.err)
		}()
	}
	// A write of a server just before ends the calls with which hosts wait for changes.
	// They pause for about 0.3 s then, before they can learn that the host is leaving.
	time.Sleep(time.Until(n.Add(firstLead - 50*time.Millisecond)))
	last.register()
	time.Sleep(time.Until(n.Add(firstLead)))
	stopped = time.Now()
	listedAt := stopped
	if w.trouble {
		w.log("host %s: SIGTERM", a.name)
		a.signal(syscall.SIGTERM)
		for b.listed(a) {
			listedAt = time.Now()
			time.Sleep(10 * time.Millisecond)
		}
	}
	g.Wait()
	close(failed)
	if err := <-failed; err != nil {
		return err
	}
	w.log("a lookup %.2f s after the SIGTERM still listed the host", listedAt.Sub(stopped).Seconds())
	judged := 0
	for i, r := range second {
		if r.status == 0 && r.events == 0 {
			w.log("client %d: the host took no second request", i)
			continue
		}
		if d := r.sent.Sub(stopped); w.trouble && (d <= afterTime || r.sent.After(listedAt.Add(lookupUse))) {
			w.log("client %d: sent its second request %.2f s after the SIGTERM, too early or too late to count", i, d.Seconds())
			continue
		}
		judged++
		if !r.complete {
			w.broken("LOST: request c%db, sent %.2f s after the SIGTERM, was passed on to a server and cut %.2f s after the SIGTERM, after %d of %d events",
				i, r.sent.Sub(stopped).Seconds(), r.ended.Sub(stopped).Seconds(), r.events, streamEvents)
		}
	}
	if judged == 0 {
		return errors.New("no second request can be judged")
	}
	return nil
}
