package oracle

import "sardineknot.example/sardineknot"

// engine is a prefill or decode engine. It has no own memory limit, since the
// memory of all decode engines is pooled.
type engine struct {
	name sardineknot.BackendServerName
	// slots is the number of jobs that the engine runs at once: one on a prefill
	// engine.
	slots     int
	usedSlots int
}

// slots returns the number of decode slots, or one if there are none, as it is
// a divisor.
func (s *Scheduler) slots() float64 {
	var n int
	for _, e := range s.decode {
		n += e.slots
	}
	return float64(max(1, n))
}

// freeSlots returns the number of free decode slots.
func (s *Scheduler) freeSlots() int {
	var n int
	for _, e := range s.decode {
		n += max(0, e.slots-e.usedSlots)
	}
	return n
}

// mostFreeSlots returns the engine with the most free slots, or nil if there is
// no free slot.
func mostFreeSlots(engines []*engine) *engine {
	var b *engine
	for _, e := range engines {
		if e.usedSlots < e.slots && (b == nil || e.slots-e.usedSlots > b.slots-b.usedSlots) {
			b = e
		}
	}
	return b
}
