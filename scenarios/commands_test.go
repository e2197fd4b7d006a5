package scenarios

import (
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// awaitLimit bounds every wait for a condition.
	awaitLimit = 60 * time.Second
	awaitPause = 20 * time.Millisecond
)

type processesKey struct{}

// processes holds the processes that a script started, by name.
type processes struct {
	mu     sync.Mutex
	byName map[string]*process
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// start NAME PROGRAM ARGUMENTS... starts a process in the background. Its
// output goes to the file NAME.log. A name can be started again after its
// process has ended.
func start(t *testscript.TestScript, _ bool, a []string) {
	f, err := os.OpenFile(t.MkAbs(a[0]+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	t.Check(err)
	p := &process{cmd: exec.Command(filepath.Join(programs, a[1]), a[2:]...), done: make(chan struct{})}
	p.cmd.Stdout = f
	p.cmd.Stderr = f
	p.cmd.Dir = t.MkAbs(".")
	t.Check(p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		f.Close()
		close(p.done)
	}()
	s := t.Value(processesKey{}).(*processes)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName == nil {
		s.byName = make(map[string]*process)
	}
	s.byName[a[0]] = p
}

// signal NAME KILL|STOP|CONT|TERM sends a signal to a process.
func signal(t *testscript.TestScript, _ bool, a []string) {
	n := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
	}[a[1]]
	t.Check(find(t, a[0]).cmd.Process.Signal(n))
}

// exited NAME STATUS waits for the end of a process with that exit status.
func exited(t *testscript.TestScript, _ bool, a []string) {
	p := find(t, a[0])
	select {
	case <-p.done:
	case <-time.After(awaitLimit):
		t.Fatalf("%s is still running", a[0])
	}
	n := p.cmd.ProcessState.ExitCode()
	if strconv.Itoa(n) != a[1] {
		t.Fatalf("%s exited with status %d", a[0], n)
	}
}

// fault ADDRESS NAME=VALUE... puts faults of a stand-in in force.
func fault(t *testscript.TestScript, _ bool, a []string) {
	p, err := http.Post("http://"+a[0]+"/standin/faults?"+strings.Join(a[1:], "&"), "", nil)
	t.Check(err)
	p.Body.Close()
}

// post ADDRESS/PATH [FILE] posts a file whose variables are expanded.
func post(t *testscript.TestScript, _ bool, a []string) {
	var b string
	if len(a) > 1 {
		b = os.Expand(t.ReadFile(a[1]), t.Getenv)
	}
	p, err := http.Post("http://"+a[0], "application/json", strings.NewReader(b))
	t.Check(err)
	defer p.Body.Close()
	if p.StatusCode >= http.StatusMultipleChoices {
		t.Fatalf("status %d", p.StatusCode)
	}
}

// record ADDRESS writes the record of a stand-in to the standard output.
func record(t *testscript.TestScript, _ bool, a []string) {
	b, err := get("http://" + a[0] + "/standin/record")
	t.Check(err)
	_, err = t.Stdout().Write(b)
	t.Check(err)
}

// await URL|FILE [-count=N] REGEXP waits until the text at URL, or in a file,
// has a line that matches, or exactly N of them.
func await(t *testscript.TestScript, neg bool, a []string) {
	n := -1
	if len(a) == 3 {
		m, err := strconv.Atoi(strings.TrimPrefix(a[1], "-count="))
		t.Check(err)
		n = m
	}
	r, err := regexp.Compile("(?m)" + a[len(a)-1])
	t.Check(err)
	var b []byte
	for e := time.Now().Add(awaitLimit); time.Now().Before(e); time.Sleep(awaitPause) {
		b, err = read(t, a[0])
		if err != nil {
			continue
		}
		m := len(r.FindAll(b, -1))
		if n < 0 && (m > 0) != neg || n >= 0 && (m == n) != neg {
			return
		}
	}
	t.Fatalf("no match for %q (%v) in:\n%s", a[len(a)-1], err, b)
}

// expand FILE... expands the variables of files in place.
func expand(t *testscript.TestScript, _ bool, a []string) {
	for _, f := range a {
		b := os.Expand(t.ReadFile(f), t.Getenv)
		t.Check(os.WriteFile(t.MkAbs(f), []byte(b), 0o644))
	}
}

func read(t *testscript.TestScript, from string) ([]byte, error) {
	if strings.Contains(from, "/") && strings.Contains(from, ":") {
		return get("http://" + from)
	}
	if strings.Contains(from, ":") {
		return get("http://" + from + "/standin/record")
	}
	return os.ReadFile(t.MkAbs(from))
}

func get(u string) ([]byte, error) {
	c := http.Client{Timeout: time.Second}
	p, err := c.Get(u)
	if err != nil {
		return nil, err
	}
	defer p.Body.Close()
	return io.ReadAll(p.Body)
}

func find(t *testscript.TestScript, n string) *process {
	s := t.Value(processesKey{}).(*processes)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byName[n]
	if p == nil {
		t.Fatalf("no process %q", n)
	}
	return p
}

// stopAll ends every process of a script.
func stopAll(e *testscript.Env) {
	s := e.Values[processesKey{}].(*processes)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.byName {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}
