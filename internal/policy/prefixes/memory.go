// Package prefixes remembers which backend server was sent which prompt
// prefixes, within a bound.
package prefixes

import (
	"container/list"

	"sardineknot.example/sardineknot"
)

// maxServers bounds the servers that are remembered for one prefix.
const maxServers = 3

// Memory holds the prefixes that were used last. It is not safe for concurrent
// use.
type Memory struct {
	// limit is the largest length of order.
	limit int
	// entries indexes order by hash. Its elements hold *entry.
	entries map[uint64]*list.Element
	// order lists the entries from the one used last to the oldest.
	order *list.List
	// threshold is the number of times that a prefix must be seen before its
	// servers are kept. once holds those that were seen less often.
	threshold int
	once      map[uint64]int
	ring      []uint64
	next      int
}

type entry struct {
	hash uint64
	// servers lists where the prefix was sent, the last one first. It has at
	// most maxServers elements.
	servers []sardineknot.BackendServerName
}

// NewMemory returns a memory of at most limit prefixes that keeps those seen
// at least threshold times.
func NewMemory(limit, threshold int) *Memory {
	return &Memory{
		limit:     limit,
		threshold: threshold,
		entries:   make(map[uint64]*list.Element),
		order:     list.New(),
		once:      make(map[uint64]int),
		ring:      make([]uint64, limit),
	}
}

// Len returns the number of prefixes whose servers are kept.
func (m *Memory) Len() int { return m.order.Len() }

// Record notes that s was sent the prefixes p.
func (m *Memory) Record(p []uint64, s sardineknot.BackendServerName) {
	for _, h := range p {
		e := m.entries[h]
		if e == nil && !m.seen(h) {
			continue
		}
		if e == nil {
			e = m.add(h)
		}
		m.order.MoveToFront(e)
		n := e.Value.(*entry)
		n.put(s)
	}
}

// Match returns the number of leading prefixes of p that s was sent.
func (m *Memory) Match(p []uint64, s sardineknot.BackendServerName) int {
	for i, h := range p {
		e := m.entries[h]
		if e == nil || !e.Value.(*entry).has(s) {
			return i
		}
	}
	return len(p)
}

// Forget notes that s no longer has the prefixes p.
func (m *Memory) Forget(p []uint64, s sardineknot.BackendServerName) {
	for _, h := range p {
		e := m.entries[h]
		if e != nil {
			e.Value.(*entry).remove(s)
		}
	}
}

// seen counts h and reports whether it has reached the threshold.
func (m *Memory) seen(h uint64) bool {
	if m.threshold <= 1 {
		return true
	}
	c, ok := m.once[h]
	if c+1 >= m.threshold {
		return true
	}
	m.once[h] = c + 1
	if !ok {
		delete(m.once, m.ring[m.next])
		m.ring[m.next] = h
		m.next = (m.next + 1) % len(m.ring)
	}
	return false
}

func (m *Memory) add(h uint64) *list.Element {
	if m.order.Len() >= m.limit {
		o := m.order.Back()
		delete(m.entries, o.Value.(*entry).hash)
		m.order.Remove(o)
	}
	e := m.order.PushFront(&entry{hash: h})
	m.entries[h] = e
	return e
}

func (e *entry) has(s sardineknot.BackendServerName) bool {
	for _, n := range e.servers {
		if n == s {
			return true
		}
	}
	return false
}

func (e *entry) remove(s sardineknot.BackendServerName) {
	for i, n := range e.servers {
		if n == s {
			e.servers = append(e.servers[:i], e.servers[i+1:]...)
			return
		}
	}
}

func (e *entry) put(s sardineknot.BackendServerName) {
	e.remove(s)
	e.servers = append(e.servers, "")
	copy(e.servers[1:], e.servers)
	e.servers[0] = s
	if len(e.servers) > maxServers {
		e.servers = e.servers[:maxServers]
	}
}
