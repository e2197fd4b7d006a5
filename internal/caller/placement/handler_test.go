package placement

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// members is a fake Membership with fixed hosts. The first one is this host.
type members struct {
	sardineknot.Membership
	hosts    []sardineknot.EntryHost
	isolated bool
}

func (m *members) Self() sardineknot.EntryHost    { return m.hosts[0] }
func (m *members) Hosts() []sardineknot.EntryHost { return m.hosts }
func (m *members) Isolated() bool                 { return m.isolated }

// newMembers returns a Membership of eight hosts that are alive, two in each of
// four zones.
func newMembers() *members {
	m := &members{}
	for i := range 8 {
		m.hosts = append(m.hosts, sardineknot.EntryHost{
			ID:   sardineknot.EntryHostID("entry-" + strconv.Itoa(i)),
			Zone: sardineknot.AvailabilityZone("zone-" + strconv.Itoa(i%4)),
		})
	}
	return m
}

// get returns the response body for query.
func get(m *members, query string) string {
	w := httptest.NewRecorder()
	h := &Handler{Membership: m, Validity: time.Second}
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/placement?"+query, nil))
	return w.Body.String()
}

func TestPlacement(t *testing.T) {
	t.Run("spreads accounts", func(t *testing.T) {
		n := make(map[string]int)
		for i := range 800 {
			// The sixth part is the ID of the first host in the JSON text.
			f := strings.Split(get(newMembers(), "account=a"+strconv.Itoa(i)), `"`)[5]
			n[f]++
		}
		is.New(t).Equal(len(n), 8)
		for _, c := range n {
			is.New(t).True(c > 50 && c < 200)
		}
	})
	t.Run("prefers hosts in the zone", func(t *testing.T) {
		a := get(newMembers(), "account=verk&zone=zone-1")
		is.New(t).True(strings.Contains(a, "entry-1") && strings.Contains(a, "entry-5"))
	})
	for _, s := range []sardineknot.EntryHostState{sardineknot.EntryHostSuspect, sardineknot.EntryHostLeaving, sardineknot.EntryHostDead} {
		t.Run("does not list a host that is "+s.String(), func(t *testing.T) {
			m := newMembers()
			m.hosts[1].State = s
			is.New(t).True(!strings.Contains(get(m, "account=verk&zone=zone-1"), "entry-1"))
		})
	}
	t.Run("lists other hosts when isolated", func(t *testing.T) {
		m := newMembers()
		m.isolated = true
		for i := range m.hosts {
			m.hosts[i].State = sardineknot.EntryHostDead
		}
		m.hosts[0].State = sardineknot.EntryHostAlive
		a := get(m, "account=verk&zone=zone-0")
		is.New(t).True(strings.Contains(a, "entry-4") && !strings.Contains(a, "entry-0"))
	})
}
