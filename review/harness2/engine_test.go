//go:build review

package harness2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// streamEvents is the number of events of a stream, and eventInterval the time between two.
	streamEvents  = 120
	eventInterval = 50 * time.Millisecond
	// roleSwitch is the time that an engine takes to change its stage.
	roleSwitch = 6 * time.Second
)

// engine is a stand-in of a model runner.
type engine struct {
	id, version string
	// service is the service of the engine. A plain runner of app has no stage and no model.
	service string
	store   *store
	server  *http.Server
	address string
	born    int64

	mu      sync.Mutex
	stage   string
	state   string
	busy    bool
	orders  int
	running int
	count   int
	gone    bool
	// poison is a part of a prompt that ends each engine which begins to write an answer on it,
	// or the path of a request that ends each plain runner. onCrash is called then.
	poison  string
	onCrash func(e *engine, id string)
}

// addEngine starts an engine and registers it.
func (w *world) addEngine(id, version, stage string) (*engine, error) {
	return w.addServer(id, version, stage, "llm")
}

// addServer starts an engine or a plain runner, and registers it.
func (w *world) addServer(id, version, stage, service string) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, version: version, service: service, store: w.store, address: l.Addr().String(), born: time.Now().UnixMilli(), stage: stage, state: "ready"}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	go e.beat()
	w.atEnd(e.end)
	return e, nil
}

// end ends e for good.
func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = true
	e.server.Close()
}

// beat writes the entry of e until it is gone.
func (e *engine) beat() {
	for e.write() {
		time.Sleep(heartbeat)
	}
}

// write writes the entry of e, unless it is gone. A store that is away is written to later.
func (e *engine) write() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return false
	}
	e.count++
	v := map[string]any{
		"service": e.service, "addr": e.address, "zone": "reykjavik-a", "version": e.version, "slots": 24, "state": e.state, "coldLeftMs": 0,
		"sequence": e.count, "born": e.born,
	}
	if e.service != "app" {
		v["stage"], v["models"] = e.stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	b, _ := json.Marshal(v)
	e.store.mu.Lock()
	a := e.store.away
	e.store.mu.Unlock()
	if !a {
		e.store.put("servers/"+e.id, b)
	}
	return true
}

// drain makes e say that it is leaving.
func (e *engine) drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.write()
}

// leave ends e, and removes its entry.
func (e *engine) leave() {
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	e.store.remove("servers/" + e.id)
	e.server.Close()
}

// engineDown is the time for which an engine is down after a crash.
const engineDown = 3 * time.Second

// crash ends the process of e, and starts the next one under the same name after engineDown.
func (e *engine) crash() {
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	e.server.Close()
	time.AfterFunc(engineDown, func() {
		l, err := net.Listen("tcp", e.address)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.gone, e.born, e.orders, e.count = false, time.Now().UnixMilli(), 0, 0
		e.server = &http.Server{Handler: e}
		e.mu.Unlock()
		go func() { _ = e.server.Serve(l) }()
		go e.beat()
	})
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", e.id)
	e.mu.Lock()
	if e.state == "draining" {
		w.Header().Set("Server-Leaving", "1")
	}
	g, b := e.stage, e.busy
	e.mu.Unlock()
	n := r.Header.Get("Attempt-Id")
	if n != "" {
		w.Header().Set("Attempt-Id", n)
	}
	_, err := io.Copy(io.Discard, r.Body)
	k := r.Header.Get("Stage") == "prefill"
	switch x := r.Header.Get("Expect-Instance"); {
	case err != nil:
	case x != "" && x != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/health":
	case r.URL.Path == "/v1/report":
		e.report(w)
	case r.URL.Path == "/v1/order":
		e.order(w)
	case strings.HasPrefix(r.URL.Path, "/v1/"):
	case e.service == "app" && r.URL.Path == e.poison:
		e.onCrash(e, n)
		e.crash()
	case e.service == "app":
		w.Header().Set("Server-Stamp", e.id+"."+n)
		_, _ = io.WriteString(w, answerOf(n))
	case b:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case k != (g == "prefill"):
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case k:
		time.Sleep(20 * time.Millisecond)
		reply(w, http.StatusOK, map[string]any{"kvHandle": "h" + n, "tokens": 700, "version": 1})
	case e.poison != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), e.poison+":"):
		e.onCrash(e, n)
		e.crash()
	default:
		e.stream(w, r, n)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": e.stage, "models": []any{map[string]any{"name": "m", "version": 1}}, "busy": e.busy, "sequence": e.orders, "queued": 0,
		"running": e.running, "kvUsed": 0, "kvTotal": 76997, "kvHandles": 0, "born": e.born, "state": e.state, "runs": []any{},
	})
}

// order changes the stage of e.
func (e *engine) order(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	e.busy = true
	g := map[string]string{"prefill": "decode", "decode": "prefill"}[e.stage]
	time.AfterFunc(roleSwitch, func() {
		e.mu.Lock()
		e.stage, e.busy = g, false
		e.mu.Unlock()
		e.write()
	})
	w.WriteHeader(http.StatusAccepted)
}

// stream sends the events after the last one that the client has. Each names the version of e.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	e.count1(1)
	defer e.count1(-1)
	time.Sleep(30 * time.Millisecond)
	w.Header().Set("Server-Stamp", e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	f := http.NewResponseController(w)
	a, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := a + 1; n <= streamEvents; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, e.version)
		if f.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
	}
}

func (e *engine) count1(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += n
}

// streamRoute is a route whose streams may be resumed, and engineService its service.
var streamRoute = map[string]any{
	"name": "r-summary", "host": hostName, "prefix": "/summary/", "kind": "streaming", "timeoutMs": 14000, "sloMs": 900, "priority": 1,
	"service": "llm", "attempts": 2, "sticky": true, "canResume": true, "gapTargetMs": 300,
}

var engineService = map[string]any{
	"name": "llm", "healthPath": "/health", "maxConns": 200, "protocol": "h1", "tls": false,
	"engine": map[string]any{
		"slots": 24, "kvCapacity": 76997, "tokenKvBytes": 262144, "linkMbps": 9300000.0, "migrations": true, "backups": true, "stride": 73, "most": 12,
		"kvTtlS": 0.5, "roleSwitchS": 6.0, "pinMs": 4000.0, "holdMs": 2000.0, "models": []any{map[string]any{"name": "m"}},
	},
}
