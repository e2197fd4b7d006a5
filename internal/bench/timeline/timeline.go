// Package timeline implements the event queue of a discrete-event simulation.
package timeline

import (
	"container/heap"
	"time"
)

// Timeline runs functions at points in virtual time. Use NewTimeline to create
// one. It is not safe for concurrent use.
type Timeline struct {
	now    time.Time
	events events
	// sequence is the number of events scheduled so far. It orders events that
	// are due at the same time.
	sequence int
}

// NewTimeline returns a timeline without events, at the virtual time start.
func NewTimeline(start time.Time) *Timeline { return &Timeline{now: start} }

// Now returns the current virtual time.
func (t *Timeline) Now() time.Time { return t.now }

// At schedules callback to run at the given virtual time. Functions that are
// scheduled for the same time run in the order in which they were scheduled.
func (t *Timeline) At(due time.Time, callback func()) {
	t.sequence++
	heap.Push(&t.events, &event{at: due, sequence: t.sequence, run: callback})
}

// After schedules callback to run when the given delay has passed.
func (t *Timeline) After(delay time.Duration, callback func()) { t.At(t.now.Add(delay), callback) }

// Run runs all events that are due before end, in order of time. These include
// events that are scheduled while Run runs.
func (t *Timeline) Run(end time.Time) {
	for len(t.events) > 0 && t.events[0].at.Before(end) {
		v := heap.Pop(&t.events).(*event)
		t.now = v.at
		v.run()
	}
}

// event is a function that is scheduled for a time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// events is a heap of events, ordered by time and then by sequence.
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
