//go:build review

// Package harness2 starts the project's program as separate processes, on loopback addresses,
// and plays cases of the review on it.
package harness2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The exit codes of a case.
const (
	codeHeld   = 0
	codeBroken = 1
	codeNotRun = 2
)

// cases holds the cases by their names.
var cases = map[string]func(*world) (broken bool, err error){}

// TestMain plays the case that the environment names, or a runner.
func TestMain(m *testing.M) {
	if os.Getenv("REVIEW_RUNNER") != "" {
		runRunner()
		return
	}
	f := cases[os.Getenv("REVIEW_CASE")]
	if f == nil {
		os.Exit(m.Run())
	}
	os.Exit(play(f))
}

// play plays a case and returns its exit code.
func play(run func(*world) (bool, error)) int {
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return codeNotRun
	}
	defer w.close()
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-c
		w.close()
		os.Exit(codeNotRun)
	}()
	k, err := run(w)
	switch {
	case err != nil:
		w.record("not run: %v", err)
		return codeNotRun
	case k:
		w.record("RULE BROKEN")
		return codeBroken
	default:
		w.record("rule held")
		return codeHeld
	}
}

// world is a deployment: a store, hosts and what the case adds.
type world struct {
	store   *store
	address string
	trouble bool
	dir     string
	started time.Time

	mu      sync.Mutex
	out     io.WriteCloser
	ends    []func()
	hosts   []*host
	version int
}

func newWorld() (*world, error) {
	w := &world{store: newStore(), trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	var err error
	w.dir, err = os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w.out, err = os.Create(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	return w, nil
}

// record writes a line to the record of the case.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := fmt.Sprintf("%7.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(w.out, s)
	_, _ = io.WriteString(os.Stdout, s)
}

// atEnd calls f at the end of the case.
func (w *world) atEnd(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends = append(w.ends, f)
}

func (w *world) close() {
	for _, f := range w.ends {
		f()
	}
	for _, h := range w.hosts {
		h.end()
	}
	w.out.Close()
	if os.Getenv("REVIEW_KEEP") == "" {
		os.RemoveAll(w.dir)
	}
}

// configure writes the next version of the configuration.
func (w *world) configure(routes, services []any) {
	w.version++
	b, _ := json.Marshal(map[string]any{
		"version": w.version, "routes": routes, "services": services,
		"limits": map[string]int{"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000},
	})
	w.store.put("op/config", b)
}

const (
	// firstPort is the first of the ports that cases listen at, below those that the kernel gives
	// to clients. Each process of a case tries a part of portPart ports, one of portParts.
	firstPort = 20000
	portPart  = 100
	portParts = 110
)

// ports counts the ports that this process has tried.
var ports atomic.Int64

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	for range portPart {
		n := ports.Add(1) - 1
		a := fmt.Sprintf("127.0.0.1:%d", firstPort+os.Getpid()%portParts*portPart+int(n)%portPart)
		l, err := net.Listen("tcp", a)
		if err == nil {
			l.Close()
			return a
		}
	}
	return "127.0.0.1:0"
}

// host is a process of the program, as the deploy file starts it.
type host struct {
	name, zone            string
	caller, ready, lookup string
	settings, log         string

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
}

// addHost adds a host whose settings are those of a small deployment.
func (w *world) addHost(zone string) (*host, error) {
	n := fmt.Sprintf("front-%s-%d", zone, len(w.hosts)+1)
	h := &host{name: n, zone: zone, caller: freeAddress(), ready: freeAddress(), lookup: freeAddress()}
	h.settings, h.log = filepath.Join(w.dir, n+".jsonc"), filepath.Join(w.dir, n+".log")
	v := fmt.Sprintf(`{"ID":%q,"Region":"is-land","Zone":%q,"CallerAddress":%q,"ReadyAddress":%q,"LookupAddress":%q,"PeerAddress":%q,
"MetricsAddress":%q,"Store":%q,"MemoryMegabytes":134,"MaxDescriptors":4100,"ProcessorShare":0.4,"ProcessorSpeed":1,"LinkMegabits":1000.0,
"StopLimit":"8s","ConfigurationBound":"2000ms","LeavingBound":"2000ms","RetryRatio":0.2,"RetrySlack":54}`,
		n, zone, h.caller, h.ready, h.lookup, freeAddress(), freeAddress(), w.address)
	if err := os.WriteFile(h.settings, []byte(v), 0o600); err != nil {
		return nil, err
	}
	w.hosts = append(w.hosts, h)
	return h, h.start()
}

// start starts the process of h.
func (h *host) start() error {
	f, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/sardineknot", "gateway")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SARDINEKNOT_CONFIG=" + h.settings}
	c.Stdout, c.Stderr = f, f
	if err := c.Start(); err != nil {
		return err
	}
	d := make(chan struct{})
	h.mu.Lock()
	h.process, h.done = c, d
	h.mu.Unlock()
	go func() {
		_ = c.Wait()
		f.Close()
		close(d)
	}()
	return nil
}

// signal sends s to the process of h.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s)
	}
}

// kill kills the process of h and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	d := h.done
	h.mu.Unlock()
	<-d
}

// end ends h for good.
func (h *host) end() {
	h.signal(syscall.SIGCONT)
	h.kill()
}

// isReady reports whether h says that it accepts calls.
func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	p, err := c.Get("http://" + h.ready + "/v1/ready")
	if err != nil {
		return false
	}
	p.Body.Close()
	return p.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (w *world) awaitReady() error {
	for e := time.Now().Add(20 * time.Second); time.Now().Before(e); time.Sleep(50 * time.Millisecond) {
		k := true
		for _, h := range w.hosts {
			k = k && h.isReady()
		}
		if k {
			return nil
		}
	}
	return fmt.Errorf("the hosts are not ready")
}
