package slotsim

import (
	"time"

	"sardineknot.example/sardineknot"
)

// pair is an unordered pair of zones. a is not greater than b.
type pair struct{ a, b sardineknot.AvailabilityZone }

// link models the link between two zones or within one. Its rate is divided
// evenly among its transfers.
type link struct {
	simulation *Simulation
	// rate is in bytes per second.
	rate float64
	// transfers holds the running transfers, whose remaining bytes were last
	// computed at the time updated.
	transfers []*transfer
	updated   time.Time
	// version is incremented to invalidate the scheduled end of a transfer.
	version int
}

// transfer is the transfer of the KV cache of one attempt.
type transfer struct {
	link *link
	// bytes is the number of bytes that remain. done is called when the
	// transfer is complete.
	bytes float64
	done  func()
}

// newPair returns the pair of the zones a and b.
func newPair(a, b sardineknot.AvailabilityZone) pair { return pair{min(a, b), max(a, b)} }

// beginTransfer starts the transfer of the KV cache of the attempt to its
// decode engine, and calls done when the transfer is complete. In an ideal
// simulation the transfer takes no time.
func (s *Simulation) beginTransfer(a *attempt, done func()) {
	if s.ideal {
		s.After(0, done)
		return
	}
	k := s.links[newPair(a.prefillZone, a.decode.server.Zone)]
	a.transfer = &transfer{link: k, bytes: float64(a.promptTokens()) * float64(s.workload.BytesPerToken), done: done}
	k.advance()
	k.transfers = append(k.transfers, a.transfer)
	k.plan()
}

// endTransfer aborts the transfer of the attempt, if any, without calling done.
func (s *Simulation) endTransfer(a *attempt) {
	x := a.transfer
	if x == nil {
		return
	}
	a.transfer = nil
	x.link.advance()
	x.link.drop(x)
	x.link.plan()
}

// drop removes x from the running transfers.
func (k *link) drop(x *transfer) {
	for i, y := range k.transfers {
		if x == y {
			k.transfers = append(k.transfers[:i:i], k.transfers[i+1:]...)
			return
		}
	}
}

// advance updates the remaining bytes of all transfers to the current time.
func (k *link) advance() {
	n := k.simulation.Now()
	if len(k.transfers) > 0 {
		b := n.Sub(k.updated).Seconds() * k.rate / float64(len(k.transfers))
		for _, x := range k.transfers {
			x.bytes -= b
		}
	}
	k.updated = n
}

// plan schedules the end of the transfer that completes next.
func (k *link) plan() {
	k.version++
	if len(k.transfers) == 0 {
		return
	}
	m := k.transfers[0]
	for _, x := range k.transfers {
		if x.bytes < m.bytes {
			m = x
		}
	}
	v := k.version
	d := max(0, m.bytes) * float64(len(k.transfers)) / k.rate
	k.simulation.After(time.Duration(d*float64(time.Second))+1, func() {
		if k.version != v {
			return
		}
		k.advance()
		k.drop(m)
		k.plan()
		m.done()
	})
}

// addEngines creates the links, and the engines evenly distributed over the
// zones.
func (s *Simulation) addEngines() {
	l := s.workload
	for i := range l.PrefillEngines {
		e := s.newServer(i, "prefill", sardineknot.RolePrefill)
		e.Slots = 8
		s.prefill = append(s.prefill, newPrefillEngine(s, e))
	}
	for i := range l.DecodeEngines {
		e := s.newServer(i, "decode", sardineknot.RoleDecode)
		e.Slots, e.MemoryPieces = l.Slots, l.MemoryPieces
		s.decode = append(s.decode, &decodeEngine{simulation: s, server: e, updated: s.Now()})
	}
	for _, a := range l.Zones {
		for _, b := range l.Zones {
			r := l.InterZoneRate
			if a == b {
				r = l.IntraZoneRate
			}
			s.links[newPair(a, b)] = &link{simulation: s, rate: float64(r), updated: s.Now()}
		}
	}
}
