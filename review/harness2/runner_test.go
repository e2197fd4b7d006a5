//go:build review

package harness2

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// heartbeat is the time between two writes of a runner to the store.
const heartbeat = 1200 * time.Millisecond

// runnerSettings are the settings of a runner of a plain service, a process of its own.
type runnerSettings struct {
	ID, Service, Zone string
	// Listen is the address at which the runner serves, and Address the one in its entry.
	Listen, Address string
	// Store is the address of the store.
	Store string
	// Pause is the time between the two halves of an answer.
	Pause time.Duration
}

// runner is a process of a runner as the case sees it.
type runner struct {
	settings runnerSettings
	// calls and writes are the links from the hosts to the runner and from it to the store.
	calls, writes *link

	mu      sync.Mutex
	process *exec.Cmd
	// halves receives the identifier of each request whose answer is half sent.
	halves chan string
	ran    map[string]int
	// lastRan is the time at which the last request arrived.
	lastRan time.Time
}

// addRunner adds a runner of service that pauses in the middle of its answers.
func (w *world) addRunner(id, service string, pause time.Duration) (*runner, error) {
	a := freeAddress()
	c, err := newLink(a)
	if err != nil {
		return nil, err
	}
	s, err := newLink(w.address)
	if err != nil {
		return nil, err
	}
	r := &runner{
		settings: runnerSettings{ID: id, Service: service, Zone: "reykjavik-a", Listen: a, Address: c.address(), Store: s.address(), Pause: pause},
		calls:    c, writes: s, halves: make(chan string, 1000), ran: make(map[string]int),
	}
	w.atEnd(r.kill)
	return r, r.start()
}

// start starts the process of r.
func (r *runner) start() error {
	b, err := json.Marshal(r.settings)
	if err != nil {
		return err
	}
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "REVIEW_RUNNER="+string(b))
	c.Stderr = os.Stderr
	o, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	r.process = c
	r.mu.Unlock()
	up := make(chan struct{})
	go r.follow(o, up)
	select {
	case <-up:
		return nil
	case <-time.After(5 * time.Second):
		return fmt.Errorf("runner %s does not start", r.settings.ID)
	}
}

// follow reads what the process says.
func (r *runner) follow(out io.Reader, up chan struct{}) {
	for s := bufio.NewScanner(out); s.Scan(); {
		f := strings.Fields(s.Text())
		switch {
		case len(f) == 1:
			close(up)
		case f[0] == "ran":
			r.mu.Lock()
			r.ran[f[1]]++
			r.lastRan = time.Now()
			r.mu.Unlock()
		default:
			r.halves <- f[1]
		}
	}
}

// kill kills the process of r and waits for its end.
func (r *runner) kill() {
	r.mu.Lock()
	c := r.process
	r.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGKILL)
	_ = c.Wait()
}

// runRunner is the program of a runner.
func runRunner() {
	var s runnerSettings
	if json.Unmarshal([]byte(os.Getenv("REVIEW_RUNNER")), &s) != nil {
		return
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return
	}
	go s.beat(time.Now().UnixMilli())
	fmt.Println("up")
	_ = http.Serve(l, s)
}

// beat writes the entry of the runner, which was born at the given time.
func (s runnerSettings) beat(born int64) {
	c := http.Client{Timeout: 2 * time.Second}
	for n := 1; ; n++ {
		b, _ := json.Marshal(map[string]any{
			"service": s.Service, "addr": s.Address, "zone": s.Zone, "version": "v1", "slots": 6,
			"state": "ready", "coldLeftMs": 0, "sequence": n, "born": born,
		})
		p, err := c.Post("http://"+s.Store+"/runner/"+s.ID, "application/json", bytes.NewReader(b))
		if err == nil {
			p.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}

// halfBytes is the length of each half of an answer.
const halfBytes = 400

// answerOf returns the whole body of the answer to the request id.
func answerOf(id string) string {
	return strings.Repeat("a", halfBytes-len(id)) + id + strings.Repeat("b", halfBytes)
}

// ServeHTTP implements http.Handler. Answers end with their connection.
func (s runnerSettings) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", s.ID)
	if n := r.Header.Get("Expect-Instance"); n != "" && n != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	n := r.Header.Get("Attempt-Id")
	fmt.Println("ran", n)
	k, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer k.Close()
	b := answerOf(n)
	fmt.Fprintf(k, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: %s.%s\r\nConnection: close\r\n\r\n%s", n, s.ID, n, b[:halfBytes])
	fmt.Println("half", n)
	time.Sleep(s.Pause)
	_, _ = io.WriteString(k, b[halfBytes:])
}
