package local

import (
	"slices"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// maxEnded bounds the number of job ends that are recorded.
	maxEnded = 8192
	// endedRetention is the time for which the end of a job is recorded.
	endedRetention = 2 * time.Minute
)

// endedJobs records the ends of the jobs that ended recently. The zero value is
// empty.
type endedJobs struct {
	// ends holds the end of each recorded job by the key of the job.
	ends map[sardineknot.RequestKey]jobEnd
	// order lists the keys of ends, the earliest end first.
	order []sardineknot.RequestKey
}

// jobEnd records when a job ended and which entry host reported the end.
type jobEnd struct {
	time   time.Time
	holder sardineknot.EntryHostID
}

// add records the end of a job as reported by host, and evicts old records. It
// has no effect if an end of the job is recorded already.
func (e *endedJobs) add(now time.Time, key sardineknot.RequestKey, host sardineknot.EntryHostID) {
	if e.ends == nil {
		e.ends = make(map[sardineknot.RequestKey]jobEnd)
	}
	if e.has(key) {
		return
	}
	e.ends[key] = jobEnd{now, host}
	e.order = append(e.order, key)
	for len(e.order) > maxEnded || now.Sub(e.ends[e.order[0]].time) > endedRetention {
		delete(e.ends, e.order[0])
		e.order = e.order[1:]
	}
}

// endedBy reports whether host reported the recorded end of the job.
func (e *endedJobs) endedBy(key sardineknot.RequestKey, host sardineknot.EntryHostID) bool {
	n, ok := e.ends[key]
	return ok && n.holder == host
}

// remove deletes the record of a job, because another host has taken over the
// job.
func (e *endedJobs) remove(key sardineknot.RequestKey) {
	if !e.has(key) {
		return
	}
	delete(e.ends, key)
	e.order = slices.DeleteFunc(e.order, func(o sardineknot.RequestKey) bool { return o == key })
}

func (e *endedJobs) has(key sardineknot.RequestKey) bool {
	_, ok := e.ends[key]
	return ok
}
