package memory

import (
	"strings"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/growth"
)

const (
	// reportLag is the usual age of the data in a load report.
	reportLag = 900 * time.Millisecond
	// maxReportAge is the age from which the data of a load report is ignored.
	maxReportAge = 3 * time.Second
	// answerDivisor limits foreign answers before any job was submitted: they
	// are assumed to have at most as many tokens as the engine's memory holds,
	// divided by answerDivisor.
	answerDivisor = 8
	// endedRetention is the time for which the end of a job is recorded. Load
	// reports lag, so they may still list the job for that long.
	endedRetention = 2500 * time.Millisecond
)

// foreignRequest is a request on an engine that is not a job of this scheduler.
// It was placed by another host that could not reach the owner of the shard, or
// by a previous owner.
type foreignRequest struct {
	// memory and generated are the memory in use and the length of the answer
	// so far, both in tokens, as of measuredAt.
	memory     float64
	generated  float64
	measuredAt time.Time
}

// endedCalls records the end times of recently ended jobs by the identifier of
// their call. order lists the calls in the order of their insertion.
type endedCalls struct {
	times map[sardineknot.RequestID]time.Time
	order []sardineknot.RequestID
}

// add records that a job of the given call ended at time now, and deletes
// expired records.
func (e *endedCalls) add(now time.Time, call sardineknot.RequestID) {
	for len(e.order) > 0 && now.Sub(e.times[e.order[0]]) > endedRetention {
		delete(e.times, e.order[0])
		e.order = e.order[1:]
	}
	if e.times == nil {
		e.times = make(map[sardineknot.RequestID]time.Time)
	}
	if _, ok := e.times[call]; !ok {
		e.order = append(e.order, call)
	}
	e.times[call] = now
}

// callID returns the identifier of the call that a job belongs to. A job's own
// identifier is that of its call, followed by a slash and the number of the
// attempt.
func callID(key sardineknot.RequestKey) sardineknot.RequestID {
	i := strings.LastIndexByte(string(key.ID), '/')
	if i < 0 {
		return key.ID
	}
	return key.ID[:i]
}

// ObserveLoad implements sardineknot.Scheduler. Requests in the report that are
// not jobs of this scheduler replace the foreign requests counted in the
// engine's forecast.
func (s *Scheduler) ObserveLoad(now time.Time, report sardineknot.LoadReport) {
	e := s.engines[report.Server]
	if e == nil {
		return
	}
	k := make(map[sardineknot.RequestID]bool, len(e.decodes))
	for _, j := range e.decodes {
		k[callID(j.Key)] = true
	}
	e.invalidateSpans()
	e.foreignRequests = e.foreignRequests[:0]
	m := s.lastMaxTokens
	if m == 0 {
		m = e.server.MemoryTokens / answerDivisor
	}
	e.foreignLength = s.lengths.predict(sardineknot.Job{MaxTokens: m})
	for _, u := range report.RunningRequests {
		if _, ok := s.ended.times[u.ID]; ok || k[u.ID] {
			continue
		}
		g := float64(u.Events * max(1, e.server.EventTokens))
		e.foreignRequests = append(e.foreignRequests, foreignRequest{memory: float64(u.MemoryTokens), generated: g, measuredAt: report.MeasuredAt.Add(-reportLag)})
	}
}

// appendForeignSpans appends the predicted memory of the foreign requests on e
// to spans.
func (e *engine) appendForeignSpans(now time.Time, spans []growth.Span) []growth.Span {
	for _, f := range e.foreignRequests {
		if now.Sub(f.measuredAt) > maxReportAge {
			continue
		}
		g := e.tokenRate.value * now.Sub(f.measuredAt).Seconds()
		n := e.foreignLength.expectedTotal(f.generated + g)
		spans = append(spans, growth.Span{InUse: f.memory + g, Remaining: max(0, n-f.generated-g)})
	}
	return spans
}
