package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is the program of the deploy file, relative to the root of the repository.
const program = "target/sardineknot"

// gateway is an entry host that runs as a process.
type gateway struct {
	id, zone                            string
	front, ready, lookup, peer, metrics string
	settings, log                       string
	record                              *record
	mu                                  sync.Mutex
	process                             *exec.Cmd
	done                                chan struct{}
}

// freeAddress returns an address with a port that no outgoing connection and no other run of a
// case gets.
func freeAddress() string {
	const runs, portsPerRun = 200, 100
	for {
		a := fmt.Sprintf("127.0.0.1:%d", 10000+os.Getpid()%runs*portsPerRun+given%portsPerRun)
		given++
		l, err := net.Listen("tcp", a)
		if err == nil {
			l.Close()
			return a
		}
	}
}

// given is the number of addresses that freeAddress has tried.
var given int

// newGateway writes the settings of an entry host as the platform makes them of the template.
func newGateway(r *record, dir, id, zone, store string) *gateway {
	g := &gateway{
		id: id, zone: zone, record: r, front: freeAddress(), ready: freeAddress(), lookup: freeAddress(), peer: freeAddress(), metrics: freeAddress(),
		settings: filepath.Join(dir, id+".jsonc"), log: filepath.Join(dir, id+".log"),
	}
	s := fmt.Sprintf(`{"ID":%q,"Region":"is-land","Zone":%q,"CallerAddress":%q,"ReadyAddress":%q,"LookupAddress":%q,"PeerAddress":%q,"MetricsAddress":%q,
"Store":%q,"MemoryMegabytes":134,"MaxDescriptors":4100,"ProcessorShare":0.4,"ProcessorSpeed":1,"LinkMegabits":1000,
"StopLimit":"8s","ConfigurationBound":"2000ms","LeavingBound":"2000ms","RetryRatio":0.2,"RetrySlack":54}`,
		id, zone, g.front, g.ready, g.lookup, g.peer, g.metrics, store)
	check(os.WriteFile(g.settings, []byte(s), 0o600))
	return g
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() {
	f, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	c := exec.Command(program, "gateway")
	c.Env = append(os.Environ(), "SARDINEKNOT_CONFIG="+g.settings)
	c.Stdout, c.Stderr = f, f
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(c.Start())
	g.mu.Lock()
	g.process, g.done = c, make(chan struct{})
	d := g.done
	g.mu.Unlock()
	go func() {
		_ = c.Wait()
		f.Close()
		close(d)
	}()
	g.record.add("host %s: started", g.id)
}

// signal sends s to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		_ = g.process.Process.Signal(s)
	}
	if g.record != nil {
		g.record.add("host %s: signal %v", g.id, s)
	}
}

// end ends the process, also if it is stopped.
func (g *gateway) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		return
	}
	_ = g.process.Process.Signal(syscall.SIGCONT)
	_ = g.process.Process.Kill()
	<-g.done
}

// isReady asks the host whether it is ready.
func (g *gateway) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/v1/ready", nil)
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	p.Body.Close()
	return p.StatusCode == http.StatusOK
}
