package store_test

import (
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// reportDecoder is like decoder, but the value of a server's entry has two digits: when
// its process was born, and the sequence number of its report. A process with an odd
// number is leaving.
type reportDecoder struct{ decoder }

func (reportDecoder) DecodeServer(e sardineknot.StoreEntry) (sardineknot.BackendServer, bool, error) {
	b := sardineknot.BackendServer{
		Name: sardineknot.BackendServerName(e.Key), Service: "s", Born: int64(e.Value[0] - '0'), Sequence: int64(e.Value[1] - '0'),
		State: sardineknot.BackendJoining,
	}
	if b.Sequence%2 == 1 {
		b.State = sardineknot.BackendLeaving
	}
	return b, true, nil
}

// newReportSource returns a source that has read a report of the server "b" in era 0.
func newReportSource(value string) *testSource {
	s := newTestSource()
	s.remove("a")
	s.Decoder = reportDecoder{}
	s.report(0, value)
	return s
}

// report applies a report of the server "b" that was read in era.
func (s *testSource) report(era sardineknot.StoreEra, value string) {
	s.Apply(sardineknot.StoreEntry{Key: "b", Value: []byte(value), Revision: sardineknot.StoreRevision{Era: era, Number: 1}})
	s.Commit()
}

// assertAccepting checks whether the server "b" accepts work.
func assertAccepting(t *testing.T, s *testSource, want bool) {
	t.Helper()
	l := s.Current().BackendServers
	is.New(t).Equal(len(l) == 1 && l[0].State == sardineknot.BackendJoining, want)
}

// TestDepartedServer guards against a server that has left, or is leaving, and gets calls
// again because the store was restored from an older copy or an old report was late.
func TestDepartedServer(t *testing.T) {
	t.Run("a leaving server stays so when an older copy says that it is ready", func(t *testing.T) {
		s := newReportSource("15")
		s.report(1, "14")
		assertAccepting(t, s, false)
		s.report(1, "16")
		assertAccepting(t, s, true)
	})
	t.Run("a removed server stays removed when an older copy holds its entry", func(t *testing.T) {
		s := newReportSource("14")
		s.remove("b")
		s.report(1, "14")
		assertAccepting(t, s, false)
		s.report(1, "12")
		assertAccepting(t, s, false)
	})
	t.Run("a removed server that has reported since is back", func(t *testing.T) {
		s := newReportSource("14")
		s.remove("b")
		s.report(1, "16")
		assertAccepting(t, s, true)
	})
	t.Run("a server that writes its entry again after an outage is back", func(t *testing.T) {
		s := newReportSource("14")
		s.remove("b")
		s.report(0, "14")
		assertAccepting(t, s, true)
	})
	t.Run("the next process under the name counts its reports anew", func(t *testing.T) {
		s := newReportSource("18")
		s.remove("b")
		s.report(0, "22")
		assertAccepting(t, s, true)
	})
	t.Run("a late report of a process that reports is ignored", func(t *testing.T) {
		s := newReportSource("15")
		s.report(0, "12")
		assertAccepting(t, s, false)
	})
	t.Run("processes without a start time are not compared", func(t *testing.T) {
		s := newReportSource("05")
		s.report(0, "02")
		assertAccepting(t, s, true)
	})
}

// TestReplacedServer guards against a process that was replaced under its name, and that is
// used again because the store was restored from an older copy.
func TestReplacedServer(t *testing.T) {
	t.Run("does not come back with an older copy", func(t *testing.T) {
		for _, e := range []string{"14", "12"} {
			s := newReportSource("14")
			s.report(0, "21")
			s.report(1, e)
			assertAccepting(t, s, false)
			s.report(1, "22")
			assertAccepting(t, s, true)
		}
	})
	t.Run("does not come back if its clock was ahead", func(t *testing.T) {
		s := newReportSource("25")
		s.report(0, "14")
		assertAccepting(t, s, true)
		s.report(1, "25")
		assertAccepting(t, s, true)
	})
	t.Run("is back with its next report", func(t *testing.T) {
		s := newReportSource("14")
		s.report(0, "21")
		s.report(0, "16")
		assertAccepting(t, s, true)
		s.report(0, "23")
		assertAccepting(t, s, false)
	})
}
