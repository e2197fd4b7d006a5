// Package timeline reconstructs the course of one request from log lines.
//
// The lines may come from several hosts, in any order, and may have a prefix,
// such as the time and the host that a log collector adds. Lines that are not
// log events are counted and skipped.
package timeline

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

// maxLineBytes is the maximum length of a log line. Read fails at a longer line
// and skips the rest of its input.
const maxLineBytes = 1 << 20

// Timeline holds the log events of one request.
type Timeline struct {
	request string
	events  []event
	// servers holds the events of backend servers that explain how requests to
	// them end.
	servers []event
	// Skipped is the number of lines that were not log events.
	Skipped int
}

// event is the log event of one line.
type event struct {
	at     time.Time
	name   string
	fields map[string]string
	// text is the rest of the line, starting with the name of the event.
	text string
}

// NewTimeline returns an empty Timeline of the request with the given
// identifier.
func NewTimeline(request string) *Timeline { return &Timeline{request: request} }

// Read adds the events of the request that are among the lines of r. It fails
// if reading r fails or if a line is longer than 1 MiB.
func (s *Timeline) Read(r io.Reader) error {
	b := bufio.NewScanner(r)
	b.Buffer(nil, maxLineBytes)
	for b.Scan() {
		s.addLine(b.Text())
	}
	return errors.WithStack(b.Err())
}

// addLine adds the event in line if it belongs to the request.
func (s *Timeline) addLine(line string) {
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
	_, x, _ := strings.Cut(line[i:], " event=")
	e := event{at: t, name: f["event"], fields: f, text: x}
	switch {
	case f["request"] == s.request:
		s.events = append(s.events, e)
	case serverEvents[e.name] != "":
		s.servers = append(s.servers, e)
	}
}

// parse returns the key=value pairs of line. Values may be quoted.
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

// Write writes the events in the order of their times, followed by the cause of
// the outcome, to w. It reports whether there was any event.
func (s *Timeline) Write(w io.Writer) bool {
	if len(s.events) == 0 {
		fmt.Fprintf(w, "no events found for request %s\n", s.request)
		return false
	}
	slices.SortStableFunc(s.events, func(a, b event) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	b := s.events[0].at
	for _, e := range s.events {
		fmt.Fprintf(w, "%+8.3fs %s %s\n", e.at.Sub(b).Seconds(), e.fields["host"], e.text)
	}
	fmt.Fprintf(w, "cause: %s%s\n", s.cause(), s.explainServers())
	return true
}
