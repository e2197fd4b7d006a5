package local

import (
	"slices"
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
	// at holds the end of each job.
	at map[sardineknot.RequestKey]ending
	// order lists the keys of at by time.
	order []sardineknot.RequestKey
}

// ending is the end of a job as its holder reported it.
type ending struct {
	time   time.Time
	holder sardineknot.EntryHostID
}

func (e *ended) add(now time.Time, k sardineknot.RequestKey, h sardineknot.EntryHostID) {
	if e.at == nil {
		e.at = make(map[sardineknot.RequestKey]ending)
	}
	if e.has(k) {
		return
	}
	e.at[k] = ending{now, h}
	e.order = append(e.order, k)
	for len(e.order) > endedLimit || now.Sub(e.at[e.order[0]].time) > endedRetention {
		delete(e.at, e.order[0])
		e.order = e.order[1:]
	}
}

// by reports whether h reported the end of k.
func (e *ended) by(k sardineknot.RequestKey, h sardineknot.EntryHostID) bool {
	n, ok := e.at[k]
	return ok && n.holder == h
}

// remove forgets the end of k, because another host holds the job.
func (e *ended) remove(k sardineknot.RequestKey) {
	if !e.has(k) {
		return
	}
	delete(e.at, k)
	e.order = slices.DeleteFunc(e.order, func(o sardineknot.RequestKey) bool { return o == k })
}

func (e *ended) has(k sardineknot.RequestKey) bool {
	_, ok := e.at[k]
	return ok
}
