// Package fault makes a stand-in fail on demand.
//
// A Control wraps the handler of a stand-in. Faults are set over HTTP by POST
// to ControlPath with one query parameter for each fault to change, and told by
// GET.
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

// ControlPath is the path that sets faults.
const ControlPath = "/standin/faults"

// controlPrefix is the path prefix that no fault applies to.
const controlPrefix = "/standin/"

// Control holds the faults in force. The zero value has none. It is safe for
// concurrent use.
type Control struct {
	mu sync.Mutex
	// values holds the parameters in force by name.
	values map[string]string
}

// Set puts a fault in force. An empty value ends it.
func (c *Control) Set(name, value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.values == nil {
		c.values = make(map[string]string)
	}
	c.values[name] = value
}

// On reports whether the fault name is in force.
func (c *Control) On(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.values[name] != ""
}

// Int returns the number that fault name is set to, or zero.
func (c *Control) Int(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := strconv.Atoi(c.values[name])
	if err != nil {
		return 0
	}
	return n
}

// Duration returns the duration that fault name is set to, or zero.
func (c *Control) Duration(name string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, err := time.ParseDuration(c.values[name])
	if err != nil {
		return 0
	}
	return d
}

// Take reports whether fault name is set to a positive number and, if so,
// decrements it.
func (c *Control) Take(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := strconv.Atoi(c.values[name])
	if err != nil || n <= 0 {
		return false
	}
	c.values[name] = strconv.Itoa(n - 1)
	return true
}

// Wrap returns h under the faults that apply to any stand-in:
//
//   - Down closes every connection without an answer.
//   - Freeze leaves every request without an answer until it ends.
//   - Delay holds every request for a duration before it takes effect.
//   - LoseReplies lets that number of requests take effect and closes their
//     connections without an answer. LosePath limits it to paths with that
//     suffix.
//   - HoldReplies lets that number of requests take effect and holds their
//     answers for the duration HoldTime. LosePath applies too.
func (c *Control) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == ControlPath {
			c.serveControl(w, r)
			return
		}
		if strings.HasPrefix(r.URL.Path, controlPrefix) {
			h.ServeHTTP(w, r)
			return
		}
		c.serve(w, r, h)
	})
}

func (c *Control) serve(w http.ResponseWriter, r *http.Request, h http.Handler) {
	c.hold(r)
	if c.On("Down") {
		panic(http.ErrAbortHandler)
	}
	if c.takeReply(r, "LoseReplies") {
		h.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	if c.takeReply(r, "HoldReplies") {
		c.holdReply(w, r, h)
		return
	}
	h.ServeHTTP(w, r)
}

// takeReply reports whether the counted fault name applies to r.
func (c *Control) takeReply(r *http.Request, name string) bool {
	c.mu.Lock()
	s := c.values["LosePath"]
	c.mu.Unlock()
	return strings.HasSuffix(r.URL.Path, s) && c.Take(name)
}

// holdReply lets r take effect and holds its answer.
func (c *Control) holdReply(w http.ResponseWriter, r *http.Request, h http.Handler) {
	p := httptest.NewRecorder()
	h.ServeHTTP(p, r)
	time.Sleep(c.Duration("HoldTime"))
	maps.Copy(w.Header(), p.Header())
	w.WriteHeader(p.Code)
	_, _ = p.Body.WriteTo(w)
}

// hold waits out the faults Delay and Freeze, or the end of r.
func (c *Control) hold(r *http.Request) {
	const step = 10 * time.Millisecond
	t := time.NewTimer(c.Duration("Delay"))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
		return
	}
	for c.On("Freeze") && r.Context().Err() == nil {
		time.Sleep(step)
	}
}

// serveControl sets faults, or tells which are in force.
func (c *Control) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		c.mu.Lock()
		defer c.mu.Unlock()
		for k, v := range c.values {
			fmt.Fprintf(w, "%s=%s\n", k, v)
		}
		return
	}
	for k, v := range r.URL.Query() {
		c.Set(k, v[0])
	}
	w.WriteHeader(http.StatusNoContent)
}
