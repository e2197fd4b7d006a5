package timeline

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// lastEvent returns the last event named n, or nil if there is none.
func (s *Timeline) lastEvent(n string) *event {
	for i := len(s.events) - 1; i >= 0; i-- {
		if s.events[i].name == n {
			return &s.events[i]
		}
	}
	return nil
}

// serverEvents maps the events of backend servers that explain how requests to
// them end to what such an event says about its server.
var serverEvents = map[string]string{
	"server_leaving_seen": "said that it was leaving",
	"server_backed_off":   "turned a request away and asked for no others for some time",
}

// explainServers describes what the backend servers that the events of the
// request name had said until its last event, to the hosts that logged these
// events. It returns "" if they had said nothing.
func (s *Timeline) explainServers() string {
	var b strings.Builder
	l := s.events[len(s.events)-1]
	for _, e := range s.servers {
		if !e.at.After(l.at) && s.names(e.fields["server"], e.fields["host"]) {
			fmt.Fprintf(&b, "; server %s %s (%+.3fs)", e.fields["server"], serverEvents[e.name], e.at.Sub(s.events[0].at).Seconds())
		}
	}
	return b.String()
}

// names reports whether an event that host logged names server.
func (s *Timeline) names(server, host string) bool {
	for _, e := range s.events {
		if e.fields["host"] != host {
			continue
		}
		for _, k := range []string{"server", "prefill", "decode"} {
			if e.fields[k] == server {
				return true
			}
		}
	}
	return false
}

// cause returns an explanation of the outcome of the request.
func (s *Timeline) cause() string {
	e := s.lastEvent("call_ended")
	if e == nil {
		return "no call_ended event: the host crashed, or its log lines were dropped"
	}
	c, _ := strconv.Atoi(e.fields["status"])
	x := e.fields["error"]
	switch {
	case x == "" && c == http.StatusOK:
		return s.explainSuccess()
	case x == "":
		return fmt.Sprintf("the backend server itself answered %d", c)
	case c == http.StatusOK:
		return "the answer was interrupted after it had started: " + s.explainFailure(x)
	case c == http.StatusServiceUnavailable:
		return "refused without being run: " + s.explainRefusal(x)
	case c == http.StatusGatewayTimeout:
		return "no answer within the route's timeout: " + s.explainFailure(x)
	default:
		return s.explainFailure(x)
	}
}

// explainRefusal explains a refusal whose error text is message.
func (s *Timeline) explainRefusal(message string) string {
	if strings.Contains(message, "no engine has room") {
		return "the memory of the decode engines was full and would not have been freed in time for the first event"
	}
	if strings.Contains(message, "servers ended under the same request") {
		return "servers ended under the same request of the same caller, or under others with a part of its prompt; see traits_quarantined"
	}
	if strings.Contains(message, "several servers have just ended") {
		return "several servers ended while they ran the same request of the same caller, and it was held until the last end was understood; see call_broken_off"
	}
	return s.explainFailure(message)
}

// explainFailure explains a failure whose error text is message. It names the
// last server that failed, or returns message if no server failed.
func (s *Timeline) explainFailure(message string) string {
	if e := s.lastEvent("engine_failed"); e != nil {
		return "engine " + e.fields["server"] + " failed: " + e.fields["error"]
	}
	if e := s.lastEvent("call_retried"); e != nil {
		return "server " + e.fields["server"] + " failed: " + e.fields["cause"] + "; then: " + message
	}
	return message
}

// The thresholds, in milliseconds, above which callers notice the delay of the
// first event and a pause between events.
const (
	slowFirstEventMs = 900
	slowPauseMs      = 300
)

// explainSuccess describes a complete answer, including noticeable delays.
func (s *Timeline) explainSuccess() string {
	e := s.lastEvent("stream_ended")
	if e == nil {
		return "answered completely"
	}
	f, _ := strconv.ParseFloat(e.fields["first_ms"], 64)
	p, _ := strconv.ParseFloat(e.fields["pause_ms"], 64)
	g := s.lastEvent("engines_granted")
	switch {
	case f > slowFirstEventMs && g != nil:
		return fmt.Sprintf("answered completely, first event after %.0f ms, %s of which were spent waiting for engines", f, g.fields["waited_ms"])
	case p > slowPauseMs:
		return fmt.Sprintf("answered completely, with a pause of %.0f ms: engine %s was busy with prefills or ran out of memory, or attempt %s resumed the stream",
			p, e.fields["server"], e.fields["tries"])
	default:
		return "answered completely"
	}
}
