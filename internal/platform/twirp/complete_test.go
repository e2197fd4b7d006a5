package twirp_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"sardineknot.example/sardineknot"
)

// write is a write or, if removed is set, a removal of a key.
type write struct {
	number  int64
	removed bool
}

// interleaving plays random writes and faults at a cluster, whose hosts get large values over
// links that take time. It checks what the hosts hand on.
type interleaving struct {
	cluster *cluster
	random  *rand.Rand
	// writes holds the writes of each key in the present era of the service, and era that era.
	writes map[string][]write
	era    sardineknot.StoreEra
}

// interleavedKeys are the keys that are written. The first ones have large values.
var interleavedKeys = []string{"config", "second", "server", "host"}

// largeKeys is the number of interleavedKeys with large values.
const largeKeys = 2

// newInterleaving starts the hosts of s behind links of a rate at which transfers overlap.
func newInterleaving(t *testing.T, s site, seed uint64) *interleaving {
	const megabits = 6
	p := &interleaving{random: rand.New(rand.NewPCG(seed, 69)), writes: make(map[string][]write)}
	p.cluster = startSiteWith(t, s, func(h *host, i int) {
		if i == 0 {
			h.cluster.service.link = newLink(storeMegabits)
		}
		fleet{weakMegabits: megabits}.equip(h, i)
	})
	p.writes["config"] = []write{{number: 1}}
	return p
}

// put writes a value to key that differs from all others.
func (p *interleaving) put(key string, large bool) {
	v := fmt.Sprint(p.random.Uint64())
	if large {
		v += randomText(8<<10+p.random.IntN(64<<10), p.random.Uint64())
	}
	r := p.cluster.service.put(key, v)
	p.record(key, write{number: r.Number})
}

// remove removes key.
func (p *interleaving) remove(key string) {
	r := p.cluster.service.remove(key)
	p.record(key, write{number: r.Number, removed: true})
}

func (p *interleaving) record(key string, w write) { p.writes[key] = append(p.writes[key], w) }

// restore makes the service come back from an older copy that holds a small configuration.
func (p *interleaving) restore() {
	s := p.cluster.service
	n := max(1, s.lastRevision().Number-3)
	s.restore(n, map[string]string{"config": "restored"})
	p.era++
	p.writes = map[string][]write{"config": {{number: n}}}
}

// step makes a random change or fault.
func (p *interleaving) step() {
	h := p.cluster.hosts[p.random.IntN(len(p.cluster.hosts))]
	k := p.random.IntN(len(interleavedKeys))
	switch n := p.random.IntN(40); {
	case n < 8:
		p.put(interleavedKeys[k], k < largeKeys)
	case n < 10:
		p.put(interleavedKeys[k], false)
	case n < 12:
		p.remove(interleavedKeys[k])
	case n < 22:
		h.store.cut.Store(!h.store.cut.Load())
	case n < 26:
		h.store.silent.Store(!h.store.silent.Load())
	case n < 28:
		h.dead.Store(!h.dead.Load())
	case n < 30:
		h.lossy.Store(!h.lossy.Load())
	case n < 32 && h.paused.Load() == nil:
		pause(time.Duration(p.random.IntN(2000)) * time.Millisecond)(h)
	case n < 33:
		p.cluster.service.forget()
	case n < 34:
		p.restore()
	}
}

// checkComplete checks that the log of each host is complete up to the revision that it
// names: other hosts go on from there.
func (p *interleaving) checkComplete(t *testing.T) {
	t.Helper()
	for _, h := range p.cluster.hosts {
		l, end := h.feed.Entries.Snapshot()
		if end.Absent() || end.Era != p.era {
			continue
		}
		known := make(map[string]int64)
		for _, e := range l {
			known[e.Key] = e.Revision.Number
		}
		for k, w := range p.writes {
			if !isComplete(w, end.Number, known[k]) {
				t.Errorf("%s hands on %s of revision %d up to revision %d, of the writes %v", h.entry.ID, k, known[k], end.Number, w)
			}
		}
	}
}

// isComplete reports whether a state up to end, of the given writes of a key, may hold the
// key of revision known, which is zero if it is absent. It may be later than end.
func isComplete(writes []write, end, known int64) bool {
	for i := len(writes) - 1; i >= 0; i-- {
		w := writes[i]
		if w.removed && known == 0 || !w.removed && known == w.number {
			return true
		}
		if w.number <= end {
			return false
		}
	}
	return known == 0
}

// checkConverged checks that all hosts have read the present state of the service, without
// having skipped anything before.
func (p *interleaving) checkConverged(t *testing.T) {
	t.Helper()
	l, _ := p.cluster.service.log.Load().Snapshot()
	want := make(map[string]string)
	for _, e := range l {
		want[e.Key] = string(e.Value)
	}
	for _, h := range p.cluster.hosts {
		if n := h.feed.SkippedValues.Count(); n > 0 {
			t.Errorf("%s has skipped %d values", h.entry.ID, n)
		}
		for _, k := range interleavedKeys {
			v, _ := h.get(k)
			if v != want[k] {
				t.Errorf("%s has %s of %d bytes that begin with %.9q, want %d bytes that begin with %.9q", h.entry.ID, k, len(v), v, len(want[k]), want[k])
			}
		}
	}
}

// TestLogsAreComplete guards against hosts that hand on a state which lacks a change, in any
// order of large changes, removals, sources that turn a host away, and hosts that fail: who
// goes on from there never reads that change.
func TestLogsAreComplete(t *testing.T) {
	const seeds, rounds, steps = 240, 4, 60
	sites := []site{
		{hosts: 7, zones: 4, bound: 2 * time.Second, reportInterval: 80 * time.Millisecond},
		{hosts: 9, zones: 2, bound: 2 * time.Second, reportInterval: 700 * time.Millisecond},
	}
	for i := range seeds {
		t.Run(fmt.Sprintf("seed %d", i), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				p := newInterleaving(t, sites[i%len(sites)], uint64(i))
				for range rounds {
					for range steps {
						p.step()
						advance(time.Duration(p.random.IntN(160)) * time.Millisecond)
						p.checkComplete(t)
					}
					p.cluster.heal()
					p.checkConverged(t)
				}
			})
		})
	}
}
