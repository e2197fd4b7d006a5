package scenarios

import (
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
	l, err := reserve()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer l.Close()
	b, err := exec.Command("go", "build", "-o", d, "../cmd/...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", b, err)
		return 1
	}
	return m.Run()
}

// loopback is the first two bytes of this run's loopback addresses.
var loopback string

// reserve picks a loopback network that no other run on this machine uses. It
// is reserved as long as the listener is open.
func reserve() (net.Listener, error) {
	const last = 254
	var err error
	for i := 1; i <= last; i++ {
		var l net.Listener
		loopback = fmt.Sprintf("127.%d", i)
		l, err = net.Listen("tcp", loopback+".0.1:7999")
		if err == nil {
			return l, nil
		}
	}
	return nil, err
}

// network numbers the scripts, so that each has loopback addresses of its own.
var network atomic.Int32

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"deploy": deploy,
			"change": change,
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

func setup(e *testscript.Env) error {
	n := network.Add(1)
	e.Setenv("PATH", programs+string(filepath.ListSeparator)+e.Getenv("PATH"))
	e.Setenv("NET", fmt.Sprintf("%s.%d", loopback, n))
	e.Values[processesKey{}] = &processes{}
	e.Defer(func() { stopAll(e) })
	return nil
}
