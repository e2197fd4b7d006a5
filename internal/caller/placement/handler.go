// Package placement tells callers which entry hosts to use.
//
// The answer lists hosts in the order of preference for the client account.
// Callers keep it for the time in ValidFor and go on to the next host when
// one does not answer. A query with zone= prefers the hosts of that
// availability zone. Only hosts that are alive are named. A host that is
// isolated takes all others for dead and names them nevertheless, but not
// itself.
package placement

import (
	"cmp"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardineknot.example/sardineknot"
)

// maxHosts bounds the hosts in an answer.
const maxHosts = 3

// Handler is an http.Handler for GET /v1/placement. All fields are set before
// use.
type Handler struct {
	// Membership tells which hosts are live.
	Membership sardineknot.Membership
	// Validity is the time for which callers keep the answer.
	Validity time.Duration
}

// answer is the body of an answer.
type answer struct {
	// EntryHosts is ordered by preference.
	EntryHosts []entryHost
	// ValidFor is a duration such as "30s".
	ValidFor string
}

type entryHost struct {
	ID      sardineknot.EntryHostID
	Address netip.AddrPort
	Zone    sardineknot.AvailabilityZone
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := answer{EntryHosts: []entryHost{}, ValidFor: h.Validity.String()}
	q := r.URL.Query()
	for _, e := range h.rank(q.Get("account"), sardineknot.AvailabilityZone(q.Get("zone"))) {
		a.EntryHosts = append(a.EntryHosts, entryHost{ID: e.ID, Address: e.CallerAddress, Zone: e.Zone})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a)
}

// rank returns the hosts to name: those of zone first, and within these by
// rendezvous hashing of the account.
func (h *Handler) rank(account string, zone sardineknot.AvailabilityZone) []sardineknot.EntryHost {
	l := h.usable()
	slices.SortStableFunc(l, func(a, b sardineknot.EntryHost) int {
		return cmp.Or(
			cmp.Compare(distance(zone, a), distance(zone, b)),
			cmp.Compare(weight(account, b), weight(account, a)),
		)
	})
	return l[:min(len(l), maxHosts)]
}

// usable returns the hosts that callers may connect to.
func (h *Handler) usable() []sardineknot.EntryHost {
	i := h.Membership.Isolated()
	s := h.Membership.Self().ID
	var l []sardineknot.EntryHost
	for _, e := range h.Membership.Hosts() {
		a := e.State == sardineknot.EntryHostAlive
		if i {
			a = e.ID != s && e.State != sardineknot.EntryHostLeaving
		}
		if a {
			l = append(l, e)
		}
	}
	return l
}

func distance(zone sardineknot.AvailabilityZone, e sardineknot.EntryHost) int {
	if e.Zone == zone {
		return 0
	}
	return 1
}

func weight(account string, e sardineknot.EntryHost) uint64 {
	return xxhash.Sum64String(account + "\x00" + string(e.ID))
}
