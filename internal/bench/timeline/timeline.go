// Package timeline is a queue of events in virtual time.
package timeline

import (
	"container/heap"
	"time"
)

// Timeline runs functions at virtual times. NewTimeline makes one. It is not
// safe for concurrent use.
type Timeline struct {
	now    time.Time
	events events
	// sequence orders events of the same time.
	sequence int
}

// NewTimeline returns a timeline without events that begins at start.
func NewTimeline(start time.Time) *Timeline { return &Timeline{now: start} }

// Now returns the virtual time.
func (t *Timeline) Now() time.Time { return t.now }

// At runs f at the time a. Functions of one time run in the order of the calls.
func (t *Timeline) At(a time.Time, f func()) {
	t.sequence++
	heap.Push(&t.events, &event{at: a, sequence: t.sequence, run: f})
}

// After runs f after d.
func (t *Timeline) After(d time.Duration, f func()) { t.At(t.now.Add(d), f) }

// Run runs all events before end.
func (t *Timeline) Run(end time.Time) {
	for len(t.events) > 0 && t.events[0].at.Before(end) {
		v := heap.Pop(&t.events).(*event)
		t.now = v.at
		v.run()
	}
}

// event is something that happens at a time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// events is a heap by time.
type events []*event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	(*e)[n] = nil
	*e = (*e)[:n]
	return x
}
