//go:build review

package harness

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// world is a small deployment: a store, entry hosts as processes of the built
// program, and servers.
type world struct {
	ctx     context.Context
	dir     string
	program string
	trouble bool
	store   *store
	hosts   []*host
	begin   time.Time
	// taken holds the addresses of the hosts.
	taken map[string]bool

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	bad    []string
}

// newWorld starts a store. record is the path of the record.
func newWorld(ctx context.Context, record string) (*world, error) {
	d, err := os.MkdirTemp("", "review-*")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	p, err := filepath.Abs("target/sardineknot")
	if err != nil {
		return nil, err
	}
	if _, err = os.Stat(p); err != nil {
		return nil, err
	}
	w := &world{ctx: ctx, dir: d, program: p, trouble: os.Getenv("TROUBLE") != "0", store: newStore(), begin: time.Now(), taken: map[string]bool{}, file: f, record: bufio.NewWriter(f)}
	return w, w.store.serve(ctx)
}

// log writes a line to the record.
func (w *world) log(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, arguments...))
	w.record.Flush()
}

// broken records that the rule was broken.
func (w *world) broken(format string, arguments ...any) {
	s := fmt.Sprintf(format, arguments...)
	w.log("BROKEN: %s", s)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bad = append(w.bad, s)
}

// end ends all processes and returns the exit status.
func (w *world) end() int {
	for _, h := range w.hosts {
		h.kill()
	}
	for _, h := range w.hosts {
		h.wait(5 * time.Second)
	}
	w.mu.Lock()
	n := len(w.bad)
	w.mu.Unlock()
	s := statusHeld
	if n > 0 {
		s = statusBroken
	}
	w.log("end: exit status %d", s)
	w.file.Close()
	os.RemoveAll(w.dir)
	return s
}

// host is an entry host.
type host struct {
	world                              *world
	name, zone                         string
	caller, ready, lookup, peer, stats string
	memory                             int
	// store is the address of the store, or of a proxy on the way to it.
	store string

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
}

// The ports of hosts are below those that the kernel gives to connections, which could
// take them before the host starts. Each run has a block of its own.
const (
	firstPort  = 15000
	portBlocks = 160
	blockPorts = 100
)

// freeAddress returns a free loopback address, another one each time.
func (w *world) freeAddress() string {
	for {
		a := fmt.Sprintf("127.0.0.1:%d", firstPort+os.Getpid()%portBlocks*blockPorts+rand.IntN(blockPorts))
		if w.taken[a] {
			continue
		}
		l, err := net.Listen("tcp", a)
		if err != nil {
			continue
		}
		l.Close()
		w.taken[a] = true
		return a
	}
}

// newHost creates a host, which is not running yet. Its settings are what the
// platform makes of deploy/settings.jsonc.
func (w *world) newHost(name, zone string, memory int) *host {
	h := &host{world: w, name: name, zone: zone, memory: memory, store: w.store.address, caller: w.freeAddress(), ready: w.freeAddress(), lookup: w.freeAddress(), peer: w.freeAddress(), stats: w.freeAddress()}
	w.hosts = append(w.hosts, h)
	return h
}

func (h *host) settings() string {
	return fmt.Sprintf(`{
  "ID": %q, "Region": "region", "Zone": %q,
  "CallerAddress": %q, "ReadyAddress": %q, "LookupAddress": %q, "PeerAddress": %q, "MetricsAddress": %q,
  "Store": %q, "MemoryMegabytes": %d, "ProcessorShare": 0.4, "ProcessorSpeed": 1,
  "StopLimit": "8s", "RetryRatio": 0.2, "RetrySlack": 54,
}
`, h.name, h.zone, h.caller, h.ready, h.lookup, h.peer, h.stats, h.store, h.memory)
}

// start runs the command of the deploy file.
func (h *host) start() error {
	p := filepath.Join(h.world.dir, h.name+".jsonc")
	if err := os.WriteFile(p, []byte(h.settings()), 0o600); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(h.world.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(h.world.program, "gateway")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "SARDINEKNOT_CONFIG=" + p}
	c.Stdout, c.Stderr = f, f
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	h.mu.Lock()
	h.process, h.done = c, make(chan struct{})
	d := h.done
	h.mu.Unlock()
	h.world.log("host %s: started, process %d", h.name, c.Process.Pid)
	go func() {
		err := c.Wait()
		f.Close()
		h.world.log("host %s: ended (%v)", h.name, err)
		close(d)
	}()
	return nil
}

func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return 0
	}
	return h.process.Process.Pid
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s)
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
}

func (h *host) wait(limit time.Duration) bool {
	h.mu.Lock()
	d := h.done
	h.mu.Unlock()
	if d == nil {
		return true
	}
	select {
	case <-d:
		return true
	case <-time.After(limit):
		return false
	}
}

// running reports whether the process runs.
func (h *host) running() bool {
	h.mu.Lock()
	d := h.done
	h.mu.Unlock()
	if d == nil {
		return false
	}
	select {
	case <-d:
		return false
	default:
		return true
	}
}

// memoryMegabytes returns the memory of the process as the kernel counts it.
func (h *host) memoryMegabytes() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.pid()))
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(l, "VmRSS:"); ok {
			n, _ := strconv.ParseFloat(strings.Fields(v)[0], 64)
			return n * 1024 / 1e6
		}
	}
	return 0
}

// isReady asks the host as the platform does.
func (h *host) isReady() bool {
	p, err := newClient().Get("http://" + h.ready + "/v1/ready")
	if err != nil {
		return false
	}
	p.Body.Close()
	return p.StatusCode == 200
}

// waitReady waits until all hosts are ready.
func (w *world) waitReady(limit time.Duration) error {
	e := time.Now().Add(limit)
	for _, h := range w.hosts {
		for !h.isReady() {
			if time.Now().After(e) || !h.running() {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// grep returns the lines of the log of h that contain text.
func (h *host) grep(text string) []string {
	b, _ := os.ReadFile(filepath.Join(h.world.dir, h.name+".log"))
	var r []string
	for _, l := range strings.Split(string(b), "\n") {
		if strings.Contains(l, text) {
			r = append(r, l)
		}
	}
	return r
}
