package local

import (
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// endedLimit bounds the number of ended jobs that are remembered.
	endedLimit = 8192
	// endedRetention is the time for which an ended job is remembered.
	endedRetention = 2 * time.Minute
)

// ended remembers the jobs that ended lately. The zero value is empty.
type ended struct {
	// at holds the time of the end by job.
	at map[sardineknot.RequestKey]time.Time
	// order lists the keys of at by time.
	order []sardineknot.RequestKey
}

func (e *ended) add(now time.Time, k sardineknot.RequestKey) {
	if e.at == nil {
		e.at = make(map[sardineknot.RequestKey]time.Time)
	}
	if e.has(k) {
		return
	}
	e.at[k] = now
	e.order = append(e.order, k)
	for len(e.order) > endedLimit || now.Sub(e.at[e.order[0]]) > endedRetention {
		delete(e.at, e.order[0])
		e.order = e.order[1:]
	}
}

func (e *ended) has(k sardineknot.RequestKey) bool {
	_, ok := e.at[k]
	return ok
}
