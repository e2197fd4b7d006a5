// Package prefixes records which prompt prefixes were sent to which backend
// servers, for a bounded number of prefixes.
package prefixes

import (
	"container/list"

	"sardineknot.example/sardineknot"
)

// maxServers is the largest number of servers recorded for one prefix.
const maxServers = 3

// Map records the servers of the most recently used prefixes. It is not safe
// for concurrent use.
type Map struct {
	// limit is the largest length of order.
	limit int
	// entries holds the elements of order by hash. The value of each element is
	// an *entry.
	entries map[uint64]*list.Element
	// order lists the entries from the most to the least recently used.
	order *list.List
	// threshold is the number of times that a prefix must occur before its
	// servers are recorded. counts holds the occurrences of prefixes below the
	// threshold, and countRing their hashes in insertion order, to evict the
	// oldest.
	threshold int
	counts    map[uint64]int
	countRing []uint64
	ringIndex int
}

// entry holds the servers of one prefix.
type entry struct {
	hash uint64
	// servers lists the servers that received the prefix, the most recent
	// first. It has at most maxServers elements.
	servers []sardineknot.BackendServerName
}

// NewMap returns an empty map for at most limit prefixes. A prefix must occur
// at least threshold times to be recorded.
func NewMap(limit, threshold int) *Map {
	return &Map{
		limit:     limit,
		threshold: threshold,
		entries:   make(map[uint64]*list.Element),
		order:     list.New(),
		counts:    make(map[uint64]int),
		countRing: make([]uint64, limit),
	}
}

// Len returns the number of prefixes whose servers are recorded.
func (m *Map) Len() int { return m.order.Len() }

// Record records that the given prefixes were sent to server.
func (m *Map) Record(prefixes []uint64, server sardineknot.BackendServerName) {
	for _, h := range prefixes {
		e := m.entries[h]
		if e == nil && !m.countOccurrence(h) {
			continue
		}
		if e == nil {
			e = m.add(h)
		}
		m.order.MoveToFront(e)
		n := e.Value.(*entry)
		n.put(server)
	}
}

// Match returns the number of leading elements of prefixes that were sent to
// server.
func (m *Map) Match(prefixes []uint64, server sardineknot.BackendServerName) int {
	for i, h := range prefixes {
		e := m.entries[h]
		if e == nil || !e.Value.(*entry).has(server) {
			return i
		}
	}
	return len(prefixes)
}

// Forget records that server no longer caches the given prefixes.
func (m *Map) Forget(prefixes []uint64, server sardineknot.BackendServerName) {
	for _, h := range prefixes {
		e := m.entries[h]
		if e != nil {
			e.Value.(*entry).remove(server)
		}
	}
}

// countOccurrence counts an occurrence of prefix and reports whether prefix has
// reached the threshold.
func (m *Map) countOccurrence(prefix uint64) bool {
	if m.threshold <= 1 {
		return true
	}
	c, ok := m.counts[prefix]
	if c+1 >= m.threshold {
		return true
	}
	m.counts[prefix] = c + 1
	if !ok {
		delete(m.counts, m.countRing[m.ringIndex])
		m.countRing[m.ringIndex] = prefix
		m.ringIndex = (m.ringIndex + 1) % len(m.countRing)
	}
	return false
}

func (m *Map) add(prefix uint64) *list.Element {
	if m.order.Len() >= m.limit {
		o := m.order.Back()
		delete(m.entries, o.Value.(*entry).hash)
		m.order.Remove(o)
	}
	e := m.order.PushFront(&entry{hash: prefix})
	m.entries[prefix] = e
	return e
}

func (e *entry) has(server sardineknot.BackendServerName) bool {
	for _, n := range e.servers {
		if n == server {
			return true
		}
	}
	return false
}

func (e *entry) remove(server sardineknot.BackendServerName) {
	for i, n := range e.servers {
		if n == server {
			e.servers = append(e.servers[:i], e.servers[i+1:]...)
			return
		}
	}
}

func (e *entry) put(server sardineknot.BackendServerName) {
	e.remove(server)
	e.servers = append(e.servers, "")
	copy(e.servers[1:], e.servers)
	e.servers[0] = server
	if len(e.servers) > maxServers {
		e.servers = e.servers[:maxServers]
	}
}
