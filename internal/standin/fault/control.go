// Package fault injects faults into a stand-in.
//
// A fault has a name and a parameter, which is a string; the empty string means
// that the fault is inactive. A POST to ControlPath sets the faults that are
// named in its query and leaves the others unchanged; a GET lists all faults
// that were ever set.
package fault

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ControlPath is the path at which faults are set and listed.
const ControlPath = "/standin/faults"

// controlPrefix is the prefix of the paths to which no fault applies, so that a
// failing stand-in can still be controlled and inspected.
const controlPrefix = "/standin/"

// Injector holds the active faults. The zero value has none. It is safe for
// concurrent use.
type Injector struct {
	mu sync.Mutex
	// values holds the parameter of each fault by name.
	values map[string]string
}

// Set sets the parameter of the fault with that name. An empty value
// deactivates the fault.
func (i *Injector) Set(name, value string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.values == nil {
		i.values = make(map[string]string)
	}
	i.values[name] = value
}

// Active reports whether the fault with that name is active.
func (i *Injector) Active(name string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.values[name] != ""
}

// Int returns the parameter of the fault with that name, or 0 if the parameter
// is not a number.
func (i *Injector) Int(name string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n, err := strconv.Atoi(i.values[name])
	if err != nil {
		return 0
	}
	return n
}

// Duration returns the parameter of the fault with that name, or 0 if the
// parameter is not a duration.
func (i *Injector) Duration(name string) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	d, err := time.ParseDuration(i.values[name])
	if err != nil {
		return 0
	}
	return d
}

// Consume reports whether the parameter of the fault with that name is a
// positive number and, if so, decrements it.
func (i *Injector) Consume(name string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	n, err := strconv.Atoi(i.values[name])
	if err != nil || n <= 0 {
		return false
	}
	i.values[name] = strconv.Itoa(n - 1)
	return true
}

// Wrap returns a handler that calls h and injects the faults that apply to
// every stand-in:
//
//   - Down closes every connection without a response.
//   - Freeze suspends every request while it is active.
//   - Delay delays every request by a duration before h handles it.
//   - LoseReplies lets h handle that number of requests and closes their
//     connections without a response. LosePath, if set, restricts this fault to
//     requests whose paths end with the parameter of LosePath.
//   - HoldReplies lets h handle that number of requests and delays their
//     responses by the duration HoldTime. LosePath restricts it as well.
func (i *Injector) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == ControlPath {
			i.serveControl(w, r)
			return
		}
		if strings.HasPrefix(r.URL.Path, controlPrefix) {
			h.ServeHTTP(w, r)
			return
		}
		i.serveWithFaults(w, r, h)
	})
}

func (i *Injector) serveWithFaults(w http.ResponseWriter, r *http.Request, h http.Handler) {
	i.delayRequest(r)
	if i.Active("Down") {
		panic(http.ErrAbortHandler)
	}
	if i.consumeReplyFault(r, "LoseReplies") {
		h.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	if i.consumeReplyFault(r, "HoldReplies") {
		i.delayReply(w, r, h)
		return
	}
	h.ServeHTTP(w, r)
}

// consumeReplyFault reports whether the fault with that name, LoseReplies or
// HoldReplies, applies to r, and decrements its parameter if so. The fault
// applies if its parameter is positive and LosePath does not exclude the path
// of r.
func (i *Injector) consumeReplyFault(r *http.Request, name string) bool {
	i.mu.Lock()
	s := i.values["LosePath"]
	i.mu.Unlock()
	return strings.HasSuffix(r.URL.Path, s) && i.Consume(name)
}

// delayReply lets h handle r and delays the response by the duration of the
// fault HoldTime.
func (i *Injector) delayReply(w http.ResponseWriter, r *http.Request, h http.Handler) {
	p := httptest.NewRecorder()
	h.ServeHTTP(p, r)
	time.Sleep(i.Duration("HoldTime"))
	maps.Copy(w.Header(), p.Header())
	w.WriteHeader(p.Code)
	_, _ = p.Body.WriteTo(w)
}

// delayRequest waits for the duration of the fault Delay and then until the
// fault Freeze is inactive. It returns early if r ends.
func (i *Injector) delayRequest(r *http.Request) {
	const step = 10 * time.Millisecond
	t := time.NewTimer(i.Duration("Delay"))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
		return
	}
	for i.Active("Freeze") && r.Context().Err() == nil {
		time.Sleep(step)
	}
}

// serveControl lists the faults in response to a GET and otherwise sets the
// faults in the query.
func (i *Injector) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		i.mu.Lock()
		defer i.mu.Unlock()
		for k, v := range i.values {
			fmt.Fprintf(w, "%s=%s\n", k, v)
		}
		return
	}
	for k, v := range r.URL.Query() {
		i.Set(k, v[0])
	}
	w.WriteHeader(http.StatusNoContent)
}
