// Package placement serves the list of entry hosts that a caller should use.
//
// The response lists hosts in order of preference for the client account.
// Callers cache it for the time ValidFor and try the next host when one does
// not respond. The query parameter zone gives preference to the hosts of that
// availability zone. Only hosts that are alive are listed, with one exception:
// an isolated host considers all others dead, and therefore lists every other
// host that is not leaving, but not itself.
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

// maxHosts is the maximum number of hosts in a response.
const maxHosts = 3

// Handler is an http.Handler for GET /v1/placement. All fields must be set
// before use.
type Handler struct {
	// Membership lists the entry hosts and their states.
	Membership sardineknot.Membership
	// Validity is the time for which callers may cache the response.
	Validity time.Duration
}

// response is the body of a response.
type response struct {
	// EntryHosts is in order of preference.
	EntryHosts []entryHost
	// ValidFor is a duration such as "30s".
	ValidFor string
}

// entryHost is one entry host in a response.
type entryHost struct {
	ID      sardineknot.EntryHostID
	Address netip.AddrPort
	Zone    sardineknot.AvailabilityZone
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := response{EntryHosts: []entryHost{}, ValidFor: h.Validity.String()}
	q := r.URL.Query()
	for _, e := range h.rank(q.Get("account"), sardineknot.AvailabilityZone(q.Get("zone"))) {
		a.EntryHosts = append(a.EntryHosts, entryHost{ID: e.ID, Address: e.CallerAddress, Zone: e.Zone})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a)
}

// rank returns up to maxHosts hosts in order of preference: hosts in zone come
// first, and hosts that are equal in this respect are ordered by rendezvous
// hashing of the account.
func (h *Handler) rank(account string, zone sardineknot.AvailabilityZone) []sardineknot.EntryHost {
	l := h.candidates()
	slices.SortStableFunc(l, func(a, b sardineknot.EntryHost) int {
		return cmp.Or(
			cmp.Compare(zoneRank(zone, a), zoneRank(zone, b)),
			cmp.Compare(hashWeight(account, b), hashWeight(account, a)),
		)
	})
	return l[:min(len(l), maxHosts)]
}

// candidates returns the hosts that callers may be directed to: those that are
// alive or, if this host is isolated, all others that are not leaving.
func (h *Handler) candidates() []sardineknot.EntryHost {
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

// zoneRank returns 0 if host is in zone, and 1 otherwise.
func zoneRank(zone sardineknot.AvailabilityZone, host sardineknot.EntryHost) int {
	if host.Zone == zone {
		return 0
	}
	return 1
}

// hashWeight returns the rendezvous weight of host for account.
func hashWeight(account string, host sardineknot.EntryHost) uint64 {
	return xxhash.Sum64String(account + "\x00" + string(host.ID))
}
