// Package leaving records which backend server processes have said in an answer
// that they are leaving.
//
// A process that has said so does not take it back. The store may say otherwise
// for some time: its entry for the process may be late, or may have been written
// again from an older state. A process is identified by the name of its server
// and by BackendServer.Born, so that one that replaces it under the same name is
// not affected.
package leaving

import (
	"slices"

	"sardineknot.example/sardineknot"
)

// maxProcesses bounds the recorded processes. The earliest record is evicted
// first.
const maxProcesses = 4096

// process identifies one process of a backend server.
type process struct {
	name sardineknot.BackendServerName
	born int64
}

// Set is a set of processes that are leaving. It is not safe for concurrent use.
type Set struct {
	processes map[process]bool
	// order lists the keys of processes, the earliest record first.
	order []process
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{processes: make(map[process]bool)} }

// Add records that the process that was born at the given time under name is
// leaving. It reports whether the process was not recorded before.
func (s *Set) Add(name sardineknot.BackendServerName, born int64) bool {
	p := process{name, born}
	if s.processes[p] {
		return false
	}
	if len(s.order) == maxProcesses {
		delete(s.processes, s.order[0])
		s.order = s.order[1:]
	}
	s.processes[p] = true
	s.order = append(s.order, p)
	return true
}

// Overlay returns a copy of servers in which the recorded processes have the
// state BackendLeaving. It returns servers itself if it has none of them.
func (s *Set) Overlay(servers []sardineknot.BackendServer) []sardineknot.BackendServer {
	if len(s.processes) == 0 || !slices.ContainsFunc(servers, s.contains) {
		return servers
	}
	r := slices.Clone(servers)
	for i := range r {
		if s.contains(r[i]) {
			r[i].State = sardineknot.BackendLeaving
		}
	}
	return r
}

// contains reports whether the process of server is recorded.
func (s *Set) contains(server sardineknot.BackendServer) bool {
	return s.processes[process{server.Name, server.Born}]
}
