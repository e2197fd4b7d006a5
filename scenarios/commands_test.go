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
	// waitTimeout is the time limit of every wait for a condition.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// processesKey is the key of the script's processes in testscript.Env.Values.
type processesKey struct{}

// processes holds the processes that a script started, by name.
type processes struct {
	mu     sync.Mutex
	byName map[string]*process
}

type process struct {
	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
}

// start NAME PROGRAM ARGUMENTS... starts a process in the background and
// appends its output to the file NAME.log. NAME can be used again after the
// process has ended.
func start(t *testscript.TestScript, _ bool, args []string) {
	f, err := os.OpenFile(t.MkAbs(args[0]+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	t.Check(err)
	p := &process{cmd: exec.Command(filepath.Join(binaryDir, args[1]), args[2:]...), done: make(chan struct{})}
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
	s.byName[args[0]] = p
}

// signal NAME KILL|STOP|CONT|TERM|INT sends a signal to the process NAME.
func signal(t *testscript.TestScript, _ bool, args []string) {
	n := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM, "INT": syscall.SIGINT,
	}[args[1]]
	t.Check(findProcess(t, args[0]).cmd.Process.Signal(n))
}

// exited NAME STATUS waits until the process NAME has ended and fails if its
// exit status differs from STATUS. The status is -1 if a signal ended the
// process.
func exited(t *testscript.TestScript, _ bool, args []string) {
	p := findProcess(t, args[0])
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		t.Fatalf("%s is still running", args[0])
	}
	n := p.cmd.ProcessState.ExitCode()
	if strconv.Itoa(n) != args[1] {
		t.Fatalf("%s exited with status %d", args[0], n)
	}
}

// fault ADDRESS NAME=VALUE... sets faults of the stand-in at ADDRESS. An empty
// VALUE deactivates a fault.
func fault(t *testscript.TestScript, _ bool, args []string) {
	p, err := http.Post("http://"+args[0]+"/standin/faults?"+strings.Join(args[1:], "&"), "", nil)
	t.Check(err)
	p.Body.Close()
}

// post ADDRESS/PATH [FILE] sends a POST request. The body is the content of
// FILE with its variables expanded, or empty without FILE. post fails if the
// status of the response is 300 or higher.
func post(t *testscript.TestScript, _ bool, args []string) {
	var b string
	if len(args) > 1 {
		b = os.Expand(t.ReadFile(args[1]), t.Getenv)
	}
	p, err := http.Post("http://"+args[0], "application/json", strings.NewReader(b))
	t.Check(err)
	defer p.Body.Close()
	if p.StatusCode >= http.StatusMultipleChoices {
		t.Fatalf("status %d", p.StatusCode)
	}
}

// record ADDRESS writes the record of the stand-in at ADDRESS to standard
// output.
func record(t *testscript.TestScript, _ bool, args []string) {
	b, err := httpGet("http://" + args[0] + "/standin/record")
	t.Check(err)
	_, err = t.Stdout().Write(b)
	t.Check(err)
}

// await URL|FILE [-count=N] REGEXP polls a text until REGEXP matches it, or
// with -count, until REGEXP has exactly N matches. The text is that of a file
// or of a URL without its scheme; an address without a path stands for the
// record of the stand-in at that address. ^ and $ match at line boundaries.
// With a leading !, await waits until the condition does not hold.
func await(t *testscript.TestScript, neg bool, args []string) {
	n := -1
	if len(args) == 3 {
		m, err := strconv.Atoi(strings.TrimPrefix(args[1], "-count="))
		t.Check(err)
		n = m
	}
	r, err := regexp.Compile("(?m)" + args[len(args)-1])
	t.Check(err)
	var b []byte
	for e := time.Now().Add(waitTimeout); time.Now().Before(e); time.Sleep(pollInterval) {
		b, err = readSource(t, args[0])
		if err != nil {
			continue
		}
		m := len(r.FindAll(b, -1))
		if n < 0 && (m > 0) != neg || n >= 0 && (m == n) != neg {
			return
		}
	}
	t.Fatalf("no match for %q (%v) in:\n%s", args[len(args)-1], err, b)
}

// expand FILE... expands the variables in each file and overwrites the file
// with the result.
func expand(t *testscript.TestScript, _ bool, args []string) {
	for _, f := range args {
		b := os.Expand(t.ReadFile(f), t.Getenv)
		t.Check(os.WriteFile(t.MkAbs(f), []byte(b), 0o644))
	}
}

// readSource returns the text that source designates. A source with a path and
// a port is a URL without its scheme, a source with only a port is the address
// of a stand-in, whose record is returned, and any other source is a file name.
func readSource(t *testscript.TestScript, source string) ([]byte, error) {
	if strings.Contains(source, "/") && strings.Contains(source, ":") {
		return httpGet("http://" + source)
	}
	if strings.Contains(source, ":") {
		return httpGet("http://" + source + "/standin/record")
	}
	return os.ReadFile(t.MkAbs(source))
}

func httpGet(url string) ([]byte, error) {
	c := http.Client{Timeout: time.Second}
	p, err := c.Get(url)
	if err != nil {
		return nil, err
	}
	defer p.Body.Close()
	return io.ReadAll(p.Body)
}

func findProcess(t *testscript.TestScript, name string) *process {
	s := t.Value(processesKey{}).(*processes)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byName[name]
	if p == nil {
		t.Fatalf("no process %q", name)
	}
	return p
}

// killAll kills all processes of a script and waits until they have ended.
func killAll(e *testscript.Env) {
	s := e.Values[processesKey{}].(*processes)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.byName {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}
