package store_test

import (
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// bornDecoder is like decoder, but the value of a server's entry also tells when
// its process was born: it is the length of the value. All servers belong to the
// service "s" and are ready by their entries.
type bornDecoder struct{ decoder }

func (bornDecoder) DecodeServer(e sardineknot.StoreEntry) (sardineknot.BackendServer, bool, error) {
	n := sardineknot.BackendServerName(e.Key)
	return sardineknot.BackendServer{Name: n, Service: "s", Born: int64(len(e.Value)), State: sardineknot.BackendJoining}, true, nil
}

// newLeavingSource returns a source with the server "a", born at 1, which has
// said that it is leaving.
func newLeavingSource() *testSource {
	s := newTestSource()
	s.Decoder = bornDecoder{}
	s.put("a", "1")
	s.MarkLeaving("a", 1, "h")
	return s
}

// assertState checks the state of the server "a".
func assertState(t *testing.T, s *testSource, want sardineknot.BackendState) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(s.Current().BackendServers), 1)
	is.Equal(s.Current().BackendServers[0].State, want)
}

// TestMarkLeaving guards against calls to a server that has said in an answer
// that it is leaving, while its entry in the store still says that it is ready.
func TestMarkLeaving(t *testing.T) {
	t.Run("takes effect at once", func(t *testing.T) {
		is := is.New(t)
		s := newTestSource()
		s.Decoder = bornDecoder{}
		s.put("a", "1")
		c, n := s.Current(), s.Changed()
		s.MarkLeaving("a", 1, "h")
		assertState(t, s, sardineknot.BackendLeaving)
		is.Equal(c.BackendServers[0].State, sardineknot.BackendJoining) // configurations are immutable
		select {
		case <-n:
		default:
			t.Error("the change is not announced")
		}
	})
	t.Run("outlives later entries of the same process", func(t *testing.T) {
		s := newLeavingSource()
		s.remove("a")
		s.put("a", "1")
		assertState(t, s, sardineknot.BackendLeaving)
	})
	t.Run("does not concern the next process under the name", func(t *testing.T) {
		s := newLeavingSource()
		s.put("a", "22")
		assertState(t, s, sardineknot.BackendJoining)
	})
	t.Run("does not commit applied entries", func(t *testing.T) {
		s := newLeavingSource()
		s.Apply(sardineknot.StoreEntry{Key: "b", Value: []byte("1"), Revision: sardineknot.StoreRevision{Number: 2}})
		s.MarkLeaving("a", 2, "h")
		is.New(t).Equal(s.servers(), 1)
	})
}
