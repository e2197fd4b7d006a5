// Package story puts together from log lines what happened to one request.
//
// Lines may come from several hosts, in any order, and with other text before
// them, such as the time and the host that a log collector adds. A line that is
// not a log event is counted and passed over.
package story

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes bounds a log line. Longer ones are passed over with the rest of
// their input.
const maxLineBytes = 1 << 20

// Story is what the logs tell of one request. NewStory makes one.
type Story struct {
	request string
	events  []event
	// Skipped counts the lines that were no log events.
	Skipped int
}

// event is one log line.
type event struct {
	at     time.Time
	name   string
	fields map[string]string
	// text is the line from the event's name on.
	text string
}

// NewStory returns the story of the request, without events.
func NewStory(request string) *Story { return &Story{request: request} }

// Read takes in the lines of r.
func (s *Story) Read(r io.Reader) error {
	b := bufio.NewScanner(r)
	b.Buffer(nil, maxLineBytes)
	for b.Scan() {
		s.take(b.Text())
	}
	return errors.WithStack(b.Err())
}

// take takes in one line.
func (s *Story) take(line string) {
	i := strings.Index(line, "time=")
	if i < 0 || !strings.Contains(line[i:], " event=") {
		s.Skipped++
		return
	}
	f := parse(line[i:])
	t, err := time.Parse(time.RFC3339Nano, f["time"])
	if err != nil {
		s.Skipped++
		return
	}
	if f["request"] != s.request {
		return
	}
	_, x, _ := strings.Cut(line[i:], " event=")
	s.events = append(s.events, event{at: t, name: f["event"], fields: f, text: x})
}

// parse returns the pairs of a line. Values may be quoted.
func parse(line string) map[string]string {
	f := make(map[string]string)
	for line != "" {
		k, r, ok := strings.Cut(strings.TrimLeft(line, " "), "=")
		if !ok {
			return f
		}
		q, err := strconv.QuotedPrefix(r)
		if err == nil {
			f[k], _ = strconv.Unquote(q)
			line = r[len(q):]
			continue
		}
		f[k], line, _ = strings.Cut(r, " ")
	}
	return f
}

// Write writes the events in order and the cause of the outcome to w. It
// reports whether there was any event.
func (s *Story) Write(w io.Writer) bool {
	if len(s.events) == 0 {
		fmt.Fprintf(w, "no event of request %s\n", s.request)
		return false
	}
	slices.SortStableFunc(s.events, func(a, b event) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	b := s.events[0].at
	for _, e := range s.events {
		fmt.Fprintf(w, "%+8.3fs %s %s\n", e.at.Sub(b).Seconds(), e.fields["host"], e.text)
	}
	fmt.Fprintf(w, "cause: %s\n", s.cause())
	return true
}
