// Command review3 plays the scripts of the third review. It starts entry hosts as processes,
// and is itself the platform's store, the runners and the clients.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// record is the record of a run.
type record struct {
	mu    sync.Mutex
	begin time.Time
	file  *os.File
}

func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, arguments...))
}

// check ends the run if there is an error: the case could not run.
func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

var current *run

func fail(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", arguments...)
	if current != nil {
		current.record.add("the case could not run: "+format, arguments...)
		current.end()
	}
	os.Exit(notRun)
}

// run is a run of a case.
type run struct {
	record   *record
	dir      string
	store    *store
	address  string
	hosts    []*gateway
	disturbs bool
	sync.Mutex
}

// end ends all processes.
func (r *run) end() {
	r.Lock()
	defer r.Unlock()
	for _, h := range r.hosts {
		h.end()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(r.dir)
	}
}

// newRun starts a store for a run whose record goes to the folder of its case.
func newRun(folder string) *run {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	d, err := os.MkdirTemp("", "review3-")
	check(err)
	r := &run{record: &record{begin: time.Now(), file: f}, dir: d, store: newStore(), disturbs: os.Getenv("TROUBLE") != "0"}
	current = r
	l, err := net.Listen("tcp", freeAddress())
	check(err)
	r.address = l.Addr().String()
	go func() { _ = http.Serve(l, r.store) }()
	r.record.add("trouble: %v", r.disturbs)
	return r
}

// host adds an entry host, which is not started.
func (r *run) host(id, zone string) *gateway {
	g := newGateway(r.record, r.dir, id, zone, r.address)
	r.Lock()
	defer r.Unlock()
	r.hosts = append(r.hosts, g)
	return g
}

// awaitReady waits until all hosts are ready.
func awaitReady(hosts ...*gateway) {
	e := time.Now().Add(15 * time.Second)
	for _, h := range hosts {
		for !h.isReady() {
			if time.Now().After(e) {
				fail("host %s is not ready", h.id)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// cases holds the cases by name.
var cases = map[string]func(*run) (ok bool, finding string){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE FOLDER")
		os.Exit(notRun)
	}
	r := newRun(os.Args[2])
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-c
		fail("interrupted")
	}()
	time.AfterFunc(115*time.Second, func() { fail("the case takes too long") })
	ok, s := cases[os.Args[1]](r)
	r.record.add("held: %v. %s", ok, s)
	fmt.Println(s)
	r.end()
	if !ok {
		os.Exit(broken)
	}
	os.Exit(held)
}
