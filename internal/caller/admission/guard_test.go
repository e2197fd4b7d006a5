package admission

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// members is a fake Membership with fixed hosts. The first one is this host.
type members struct {
	sardineknot.Membership
	isolated bool
}

func (m *members) Isolated() bool { return m.isolated }

func (m *members) Self() sardineknot.EntryHost { return m.Hosts()[0] }

func (m *members) Hosts() []sardineknot.EntryHost {
	return []sardineknot.EntryHost{
		{ID: "entry-1", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1")},
		{ID: "entry-2", CallerAddress: netip.MustParseAddrPort("127.0.0.1:2"), State: sardineknot.EntryHostDead},
		{ID: "entry-3", CallerAddress: netip.MustParseAddrPort("127.0.0.1:3"), State: sardineknot.EntryHostLeaving},
		{ID: "entry-4", CallerAddress: netip.MustParseAddrPort("127.0.0.1:4"), State: sardineknot.EntryHostSuspect},
	}
}

// source is a fake ConfigurationSource. Its configuration has the given
// revision and is empty.
type source struct {
	sardineknot.ConfigurationSource
	revision sardineknot.Revision
}

func (s *source) Current() *sardineknot.Configuration {
	return &sardineknot.Configuration{Revision: s.revision}
}

// newGuard returns a guard on a host whose configuration has revision r.
func newGuard(isolated bool, r sardineknot.Revision) *Guard {
	return &Guard{Membership: &members{isolated: isolated}, Configuration: &source{revision: r}}
}

// assertStatus checks the status with which g answers a request. known states
// whether this host produces the answer to the request.
func assertStatus(t *testing.T, g *Guard, known bool, status int) {
	t.Helper()
	w := httptest.NewRecorder()
	g.HasAnswer = func(*http.Request) bool { return known }
	h := g.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", nil))
	is.New(t).Equal(w.Code, status)
	is.New(t).Equal(g.Active(), 0)
	if status != http.StatusOK {
		is.New(t).Equal(w.Header().Get("X-Entry-Hosts"), "127.0.0.1:4, 127.0.0.1:2")
		is.New(t).Equal(w.Header().Get("Retry-After"), "1")
	}
}

func TestGuard(t *testing.T) {
	t.Run("admits", func(t *testing.T) { assertStatus(t, newGuard(false, 1), false, http.StatusOK) })
	t.Run("isolated", func(t *testing.T) { assertStatus(t, newGuard(true, 1), false, http.StatusServiceUnavailable) })
	t.Run("no configuration", func(t *testing.T) { assertStatus(t, newGuard(false, 0), false, http.StatusServiceUnavailable) })
	t.Run("stopping", func(t *testing.T) {
		g := newGuard(false, 1)
		g.Close()
		assertStatus(t, g, false, http.StatusServiceUnavailable)
		assertStatus(t, g, true, http.StatusOK)
	})
}
