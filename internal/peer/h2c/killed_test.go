package h2c_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"sardineknot.example/sardineknot/internal/peer/h2c"
	rpc "sardineknot.example/sardineknot/internal/rpc/changes"
)

// hostVariable is the environment variable of the process that serves half of a message.
const hostVariable = "TEST_KILLED_HOST"

// The paths of responses that end in their middle, by what they announce.
const (
	pathLength = "/length" // their length
	pathStream = "/stream" // nothing
	pathHead   = "/head"   // nothing, and their body does not begin
)

// message returns a message of two entries and its first half, which is a message as well.
func message(t *testing.T) (whole, half []byte) {
	a, b := &rpc.Entry{Key: "a", Revision: 1}, &rpc.Entry{Key: "b", Revision: 2}
	whole, err := proto.Marshal(&rpc.Entries{Entries: []*rpc.Entry{a, b}})
	is.New(t).NoErr(err)
	half = whole[:len(whole)/2]
	is.New(t).NoErr(proto.Unmarshal(half, &rpc.Entries{}))
	return whole, half
}

// TestKilledHostProcess is the program of a host that writes half of a message and waits to be
// killed. It prints its address.
func TestKilledHostProcess(t *testing.T) {
	if os.Getenv(hostVariable) == "" {
		t.Skip("runs in a process of its own")
	}
	is := is.New(t)
	whole, half := message(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	_, _ = os.Stdout.WriteString("address " + l.Addr().String() + "\n")
	_ = h2c.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathLength {
			w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
		}
		w.WriteHeader(http.StatusOK)
		if r.URL.Path != pathHead {
			_, _ = w.Write(half)
		}
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})).Serve(l)
}

// startHost starts the process of TestKilledHostProcess and returns its URL and a function
// that kills it.
func startHost(t *testing.T) (base string, kill func()) {
	is := is.New(t)
	c := exec.Command(os.Args[0], "-test.run=^TestKilledHostProcess$")
	c.Env = append(os.Environ(), hostVariable+"=1")
	o, err := c.StdoutPipe()
	is.NoErr(err)
	is.NoErr(c.Start())
	kill = func() { _ = c.Process.Signal(syscall.SIGKILL) }
	t.Cleanup(func() {
		kill()
		_ = c.Wait()
	})
	for s := bufio.NewScanner(o); s.Scan(); {
		if a, ok := strings.CutPrefix(s.Text(), "address "); ok {
			return "http://" + a, kill
		}
	}
	t.Fatal("the process has not printed its address")
	return "", nil
}

// TestKilledHostLooksComplete guards against half of a message that is read as a whole one
// because its host is killed: the kernel ends the connection as after an orderly end, and half
// of a message may be a message. All calls, snapshots and relayed answers between hosts are
// read through this transport.
func TestKilledHostLooksComplete(t *testing.T) {
	for _, path := range []string{pathLength, pathStream, pathHead} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			_, half := message(t)
			b, kill := startHost(t)
			p, err := h2c.NewTransport(metrics.NewRegistry()).Client().Get(b + path)
			is.NoErr(err)
			defer p.Body.Close()
			if path != pathHead {
				_, err = io.ReadFull(p.Body, make([]byte, len(half)))
				is.NoErr(err)
			}
			kill()
			_, err = io.ReadAll(p.Body)
			is.True(err != nil)
		})
	}
}
