package oracle

import "sardineknot.example/sardineknot"

type engine struct {
	name      sardineknot.BackendServerName
	slots     int
	usedSlots int
}

// slots returns the number of decode slots.
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
