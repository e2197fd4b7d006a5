package story

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// find returns the last event named n, or nil.
func (s *Story) find(n string) *event {
	for i := len(s.events) - 1; i >= 0; i-- {
		if s.events[i].name == n {
			return &s.events[i]
		}
	}
	return nil
}

// cause names why the request ended as it did.
func (s *Story) cause() string {
	e := s.find("call_ended")
	if e == nil {
		return "the end of the call is missing: its host died, or its lines were dropped"
	}
	c, _ := strconv.Atoi(e.fields["status"])
	x := e.fields["error"]
	switch {
	case x == "" && c == http.StatusOK:
		return s.slow()
	case x == "":
		return fmt.Sprintf("the backend server itself answered %d", c)
	case c == http.StatusOK:
		return "the answer broke off after its beginning: " + s.failure(x)
	case c == http.StatusServiceUnavailable:
		return "refused, and not run: " + s.refusal(x)
	case c == http.StatusGatewayTimeout:
		return "no answer within the route's timeout: " + s.failure(x)
	default:
		return s.failure(x)
	}
}

// refusal explains a refusal with the text x.
func (s *Story) refusal(x string) string {
	if strings.Contains(x, "no engine has room") {
		return "the memory of the decode engines was taken, and would not have become free in time for the first event"
	}
	return s.failure(x)
}

// failure names the server that failed last, or gives the text x.
func (s *Story) failure(x string) string {
	if e := s.find("engine_failed"); e != nil {
		return "engine " + e.fields["server"] + " failed: " + e.fields["error"]
	}
	if e := s.find("call_retried"); e != nil {
		return "server " + e.fields["server"] + " failed: " + e.fields["cause"] + "; then: " + x
	}
	return x
}

// The pauses that callers notice, in milliseconds.
const (
	slowFirst = 900
	slowPause = 300
)

// slow explains a whole answer.
func (s *Story) slow() string {
	e := s.find("stream_ended")
	if e == nil {
		return "answered whole"
	}
	f, _ := strconv.ParseFloat(e.fields["first_ms"], 64)
	p, _ := strconv.ParseFloat(e.fields["pause_ms"], 64)
	g := s.find("engines_granted")
	switch {
	case f > slowFirst && g != nil:
		return fmt.Sprintf("answered whole, first event after %.0f ms, %s of them waiting for engines", f, g.fields["waited_ms"])
	case p > slowPause:
		return fmt.Sprintf("answered whole, with a pause of %.0f ms: engine %s was busy reading or ran out of memory, or try %s resumed the stream",
			p, e.fields["server"], e.fields["tries"])
	default:
		return "answered whole"
	}
}
