// Package record keeps what a stand-in saw, for assertions in tests.
package record

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
)

// Path is the path that a Recorder is served at.
const Path = "/standin/record"

// Recorder collects lines of key=value pairs and counts of calls. The zero
// value is empty. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	lines  []string
	counts map[string]int
	// state, if not nil, returns further lines that describe the present.
	state func() []string
}

// Describe makes Lines end with what f returns of the present.
func (r *Recorder) Describe(f func() []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = f
}

// Add appends a line that starts with event=e. kv alternates keys and values.
func (r *Recorder) Add(e string, kv ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "event=%s", e)
	for i := 0; i+1 < len(kv); i += 2 {
		fmt.Fprintf(&b, " %v=%v", kv[i], kv[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, b.String())
}

// Count adds one to the calls of a kind.
func (r *Recorder) Count(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[string]int)
	}
	r.counts[kind]++
}

// Lines returns the recorded lines, the counts and the state.
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
