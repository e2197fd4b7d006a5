// Package departed records the backend server processes whose entries were removed
// from the platform's key-value service, or replaced there by the entry of the next
// process under the name, with the last report of each. The times at which two processes
// were born do not show which one is the next, since a clock may have been set.
//
// An entry of such a process may return: from an older copy of the service, or in
// a report that was delayed. It counts only if the process has reported since.
package departed

import "sardineknot.example/sardineknot"

// maxProcesses bounds the recorded processes. The earliest record is evicted first.
const maxProcesses = 4096

// process identifies one process of a backend server.
type process struct {
	name sardineknot.BackendServerName
	born int64
}

// report is the last report of a process.
type report struct {
	sequence int64
	era      sardineknot.StoreEra
}

// Set is a set of processes. It is not safe for concurrent use.
type Set struct {
	reports map[process]report
	// order lists the keys of reports, the earliest record first.
	order []process
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{reports: make(map[process]report)} }

// Add records that the entry of the process of server was removed or replaced. Its last report had
// the given sequence number and was read in era. A process whose start is unknown is
// not recorded.
func (s *Set) Add(server sardineknot.BackendServer, sequence int64, era sardineknot.StoreEra) {
	if server.Born == 0 {
		return
	}
	p := process{server.Name, server.Born}
	if _, ok := s.reports[p]; !ok {
		if len(s.order) == maxProcesses {
			delete(s.reports, s.order[0])
			s.order = s.order[1:]
		}
		s.order = append(s.order, p)
	}
	s.reports[p] = report{sequence: sequence, era: era}
}

// Outdated reports whether a report of the process of server, read in era, is not newer
// than the one before its entry was removed or replaced. In the era of the removal, a
// report with the same number counts: after an outage of the service a process writes its
// entry again.
func (s *Set) Outdated(server sardineknot.BackendServer, sequence int64, era sardineknot.StoreEra) bool {
	r, ok := s.reports[process{server.Name, server.Born}]
	if !ok {
		return false
	}
	return sequence < r.sequence || sequence == r.sequence && era > r.era
}
