//go:build review

package harness

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// bodyBytes is the body of a request, the limit of the configuration.
	bodyBytes = 4194304
	// longClients is the number of clients that send long bodies, and shortClients that
	// of clients that send short ones all the time.
	longClients  = 28
	shortClients = 12
	// uploadTime is the time in which a client sends a long body. All of them together
	// take 630 Mbit/s. The link of a machine carries 1,000, so that no packet waits there.
	uploadTime   = 1500 * time.Millisecond
	uploadPieces = 100
	// memoryMegabytes is the memory of a front machine of akstur-knot.
	memoryMegabytes = 134
)

// bodyClient is a client that keeps one channel.
type bodyClient struct {
	world  *world
	http   *http.Client
	target string
	name   string
}

// post sends an unsafe request and returns the status, or an error if the channel
// ended without a complete answer.
func (c *bodyClient) post(id string, body []byte) (int, error) {
	q, err := http.NewRequestWithContext(c.world.ctx, http.MethodPost, "http://"+c.target+"/post/"+c.name, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	q.Host = "app.example"
	q.Header.Set("Attempt-Id", id)
	q.Header.Set("Deadline-Ms", "1500")
	q.GetBody = nil // no repetition by the library
	p, err := c.http.Do(q)
	if err != nil {
		return 0, err
	}
	defer p.Body.Close()
	_, err = io.Copy(io.Discard, p.Body)
	return p.StatusCode, err
}

// pacedBody is a body of which a piece is sent each uploadTime/uploadPieces.
type pacedBody struct {
	left []byte
	next time.Time
}

// Read implements io.Reader.
func (p *pacedBody) Read(b []byte) (int, error) {
	if len(p.left) == 0 {
		return 0, io.EOF
	}
	if w := time.Until(p.next); w > 0 {
		time.Sleep(w)
	}
	n := copy(b, p.left[:min(len(p.left), bodyBytes/uploadPieces+1)])
	p.left = p.left[n:]
	p.next = p.next.Add(uploadTime * time.Duration(n) / bodyBytes)
	return n, nil
}

// postLong sends a streaming request with a long body, as post does.
func (c *bodyClient) postLong(id string, body []byte) (int, error) {
	q, err := http.NewRequestWithContext(c.world.ctx, http.MethodPost, "http://"+c.target+"/note/"+c.name, &pacedBody{left: body, next: time.Now()})
	if err != nil {
		return 0, err
	}
	q.Host, q.ContentLength = "app.example", int64(len(body))
	for k, v := range map[string]string{
		"Attempt-Id": id, "Model": "m", "Token-Counts": "5000,730", "Length-Hint": "730", "Prompt-Prefix": id + "aa:200," + id + "bb:4800", "Deadline-Ms": "14000",
	} {
		q.Header.Set(k, v)
	}
	p, err := c.http.Do(q)
	if err != nil {
		return 0, err
	}
	defer p.Body.Close()
	_, err = io.Copy(io.Discard, p.Body)
	return p.StatusCode, err
}

// runBodies has many clients of one host send requests with long bodies at the same
// time, as far as the limits of the configuration allow. The platform kills a
// process that takes more memory than its machine has. Without the disruption the
// same requests come one after the other.
func runBodies(w *world) error {
	w.store.put("op/config", configuration(7))
	var servers []*server
	for i := range 4 {
		s := &server{world: w, id: fmt.Sprintf("i-a%d", i), service: "app", zone: "zone-a", version: "v1", slots: 6, work: 200 * time.Millisecond}
		if err := s.serve(); err != nil {
			return err
		}
		servers = append(servers, s)
	}
	for i, g := range []string{"prefill", "decode", "decode", "decode"} {
		s := &server{world: w, id: fmt.Sprintf("i-e%d", i), service: "llm", zone: "zone-a", version: "v1", slots: 24, stage: g, eventGap: 45 * time.Millisecond, events: 10}
		s.onOrder = func(*server, string, int64, string) int { return http.StatusConflict }
		if err := s.serve(); err != nil {
			return err
		}
		servers = append(servers, s)
	}
	h := w.newHost("front-1", "zone-a", memoryMegabytes)
	if err := h.start(); err != nil {
		return err
	}
	if err := w.waitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var killed atomic.Bool
	var peak atomic.Int64
	d := make(chan struct{})
	go watchMemory(w, h, &peak, &killed, d)
	var clients []*bodyClient
	for i := range longClients {
		clients = append(clients, &bodyClient{world: w, http: newClient(), target: h.caller, name: fmt.Sprintf("c%d", i)})
	}
	for i, c := range clients {
		s, err := c.post(fmt.Sprintf("warm-%d", i), []byte("x"))
		w.log("client %d: short request: %d %v", i, s, err)
	}
	w.log("memory of the process: %.0f MB", h.memoryMegabytes())
	var short atomic.Int64
	var s sync.WaitGroup
	stop := make(chan struct{})
	for i := range shortClients {
		s.Add(1)
		go func() {
			defer s.Done()
			short.Add(sendShort(w, h, servers, i, stop))
		}()
	}
	time.Sleep(time.Second)
	b := bytes.Repeat([]byte("b"), bodyBytes)
	lost := make([]bool, longClients)
	var g sync.WaitGroup
	for i, c := range clients {
		f := func() {
			id := fmt.Sprintf("long-%d", i)
			s, err := c.postLong(id, b)
			r := wasRun(servers, id)
			w.log("client %d: request with %d bytes: %d %v (reached a server: %v)", i, len(b), s, err, r)
			lost[i] = err != nil && r
		}
		if !w.trouble {
			f()
			continue
		}
		g.Add(1)
		go func() { defer g.Done(); f() }()
	}
	g.Wait()
	close(stop)
	s.Wait()
	close(d)
	w.log("peak memory of the process: %d MB of %d MB", peak.Load(), memoryMegabytes)
	l := int(short.Load())
	for _, v := range lost {
		if v {
			l++
		}
	}
	w.log("%d requests were passed on to sound servers, and their channels were closed without an answer", l)
	if killed.Load() {
		w.log("the process took more memory than the machine has and was killed")
	}
	if l > 3 {
		w.broken("LOST: %d requests from kept channels were passed on to sound servers and got no answer", l)
	}
	return nil
}

// sendShort sends short requests on a kept channel until stop is closed or the channel
// ends. It returns the number of requests that reached a server and got no answer.
func sendShort(w *world, h *host, servers []*server, client int, stop chan struct{}) int64 {
	c := &bodyClient{world: w, http: newClient(), target: h.caller, name: fmt.Sprintf("s%d", client)}
	for k := 0; ; k++ {
		select {
		case <-stop:
			return 0
		default:
		}
		id := fmt.Sprintf("short-%d-%d", client, k)
		s, err := c.post(id, []byte("x"))
		if err == nil {
			w.log("client %s: short request: %d", c.name, s)
			continue
		}
		r := wasRun(servers, id)
		w.log("client %s: request %s: %v (reached a server: %v)", c.name, id, err, r)
		if r && k > 0 {
			return 1
		}
		return 0
	}
}

// wasRun reports whether one of servers began to run the request.
func wasRun(servers []*server, id string) bool {
	for _, v := range servers {
		if v.wasRun(id) {
			return true
		}
	}
	return false
}

// watchMemory kills the process of h when it takes more memory than the limit, as the
// platform does.
func watchMemory(w *world, h *host, peak *atomic.Int64, killed *atomic.Bool, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
		}
		m := h.memoryMegabytes()
		if int64(m) > peak.Load() {
			peak.Store(int64(m))
		}
		if m > memoryMegabytes*1.048576 && !killed.Load() {
			killed.Store(true)
			w.log("platform: the process has %.0f MB, over its %d MB: SIGKILL", m, memoryMegabytes)
			h.signal(syscall.SIGKILL)
		}
	}
}
