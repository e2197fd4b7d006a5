// Package record collects the events of a stand-in for assertions in tests.
package record

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
)

// Path is the path at which a stand-in serves its record.
const Path = "/standin/record"

// Recorder collects events, each a line of key=value pairs, and counts calls by
// kind. The zero value is empty. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	lines  []string
	counts map[string]int
	// state, if not nil, returns lines that describe the current state of the
	// stand-in.
	state func() []string
}

// SetState sets the function that returns the lines for the current state of
// the stand-in. Lines calls f each time, without holding a lock, and appends
// the result.
func (r *Recorder) SetState(f func() []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = f
}

// Add appends a line with the pair event=event and the pairs in kv, in which
// keys and values alternate. It ignores a key without a value.
func (r *Recorder) Add(event string, kv ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "event=%s", event)
	for i := 0; i+1 < len(kv); i += 2 {
		fmt.Fprintf(&b, " %v=%v", kv[i], kv[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, b.String())
}

// Count increments the number of calls of a kind.
func (r *Recorder) Count(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[string]int)
	}
	r.counts[kind]++
}

// Lines returns the recorded lines, then one line for each kind of call and the
// lines for the current state.
func (r *Recorder) Lines() []string {
	r.mu.Lock()
	l := append([]string(nil), r.lines...)
	for k, n := range r.counts {
		l = append(l, fmt.Sprintf("count kind=%s calls=%d", k, n))
	}
	f := r.state
	r.mu.Unlock()
	if f != nil {
		l = append(l, f()...)
	}
	return l
}

// ServeHTTP writes the lines as plain text.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprintln(w, strings.Join(r.Lines(), "\n"))
}
