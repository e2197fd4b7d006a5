package world

import (
	"time"

	"sardineknot.example/sardineknot"
)

// pair is an unordered pair of zones, the smaller name first.
type pair struct{ a, b sardineknot.AvailabilityZone }

// link is shared evenly by its transfers.
type link struct {
	world *World
	// rate is in bytes a second.
	rate      float64
	transfers []*transfer
	updated   time.Time
	// version numbers the plans for the next event.
	version int
}

// transfer moves the KV cache of one try.
type transfer struct {
	link *link
	// bytes is what is left.
	bytes float64
	done  func()
}

func newPair(a, b sardineknot.AvailabilityZone) pair { return pair{min(a, b), max(a, b)} }

// beginTransfer moves the KV cache of t and calls done at the end.
func (w *World) beginTransfer(t *try, done func()) {
	if w.ideal {
		w.After(0, done)
		return
	}
	k := w.links[newPair(t.from, t.decode.server.Zone)]
	t.transfer = &transfer{link: k, bytes: float64(t.promptTokens()) * float64(w.workload.BytesPerToken), done: done}
	k.advance()
	k.transfers = append(k.transfers, t.transfer)
	k.plan()
}

// endTransfer stops the transfer of t, if any.
func (w *World) endTransfer(t *try) {
	x := t.transfer
	if x == nil {
		return
	}
	t.transfer = nil
	x.link.advance()
	x.link.drop(x)
	x.link.plan()
}

func (k *link) drop(x *transfer) {
	for i, y := range k.transfers {
		if x == y {
			k.transfers = append(k.transfers[:i:i], k.transfers[i+1:]...)
			return
		}
	}
}

// advance moves bytes up to now.
func (k *link) advance() {
	n := k.world.Now()
	if len(k.transfers) > 0 {
		b := n.Sub(k.updated).Seconds() * k.rate / float64(len(k.transfers))
		for _, x := range k.transfers {
			x.bytes -= b
		}
	}
	k.updated = n
}

// plan schedules the end of the next transfer.
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
	k.world.After(time.Duration(d*float64(time.Second))+1, func() {
		if k.version != v {
			return
		}
		k.advance()
		k.drop(m)
		k.plan()
		m.done()
	})
}

// addEngines makes the engines and links, spread evenly over the zones.
func (w *World) addEngines() {
	l := w.workload
	for i := range l.PrefillEngines {
		s := w.server(i, "prefill", sardineknot.RolePrefill)
		s.Slots = 8
		w.prefill = append(w.prefill, newPrefillEngine(w, s))
	}
	for i := range l.DecodeEngines {
		s := w.server(i, "decode", sardineknot.RoleDecode)
		s.Slots, s.MemoryPieces = l.Slots, l.MemoryPieces
		w.decode = append(w.decode, &decodeEngine{world: w, server: s, updated: w.Now()})
	}
	for _, a := range l.Zones {
		for _, b := range l.Zones {
			r := l.BetweenZones
			if a == b {
				r = l.WithinZone
			}
			w.links[newPair(a, b)] = &link{world: w, rate: float64(r), updated: w.Now()}
		}
	}
}
