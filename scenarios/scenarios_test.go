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

// binaryDir is the directory with the commands built for this run.
var binaryDir string

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
	binaryDir = d
	l, err := reserveLoopback()
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

// loopbackPrefix holds the first two bytes of the loopback addresses of this
// run, in dotted notation.
var loopbackPrefix string

// reserveLoopback sets loopbackPrefix to a network that no other run on this
// machine uses. The network is reserved while the returned listener is open.
func reserveLoopback() (net.Listener, error) {
	const last = 254
	var err error
	for i := 1; i <= last; i++ {
		var l net.Listener
		loopbackPrefix = fmt.Sprintf("127.%d", i)
		l, err = net.Listen("tcp", loopbackPrefix+".0.1:7999")
		if err == nil {
			return l, nil
		}
	}
	return nil, err
}

// lastNetwork is the number given to the script that started last. Scripts are
// numbered from 1, and the number of a script is the third byte of its loopback
// addresses, so that scripts do not share addresses.
var lastNetwork atomic.Int32

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
	n := lastNetwork.Add(1)
	e.Setenv("PATH", binaryDir+string(filepath.ListSeparator)+e.Getenv("PATH"))
	e.Setenv("NET", fmt.Sprintf("%s.%d", loopbackPrefix, n))
	e.Values[processesKey{}] = &processes{}
	e.Defer(func() { killAll(e) })
	return nil
}
