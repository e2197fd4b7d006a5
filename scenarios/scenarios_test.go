package scenarios

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// programs is the directory of the built commands.
var programs string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	d, err := os.MkdirTemp("", "sardineknot")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(d)
	programs = d
	b, err := exec.Command("go", "build", "-o", d, "../cmd/...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", b, err)
		return 1
	}
	return m.Run()
}

// network numbers the scripts, so that each has loopback addresses of its own.
var network atomic.Int32

// maxNetwork bounds network.
const maxNetwork = 254

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"deploy": deploy,
			"start":  start,
			"signal": signal,
			"exited": exited,
			"fault":  fault,
			"post":   post,
			"await":  await,
			"record": record,
			"expand": expand,
		},
		RequireExplicitExec: true,
	})
}

// reserve returns the number of a network that no other run of the tests on
// this machine uses, and the listener that reserves it.
func reserve() (int32, net.Listener, error) {
	for {
		n := network.Add(1)
		if n > maxNetwork {
			return 0, nil, errors.New("no free loopback network")
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.254:6999", 1+os.Getpid()%250, n))
		if err == nil {
			return n, l, nil
		}
	}
}

func setup(e *testscript.Env) error {
	n, g, err := reserve()
	if err != nil {
		return err
	}
	e.Defer(func() { g.Close() })
	e.Setenv("PATH", programs+string(filepath.ListSeparator)+e.Getenv("PATH"))
	e.Setenv("NET", fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, n))
	e.Values[processesKey{}] = &processes{}
	e.Defer(func() { stopAll(e) })
	return nil
}
