// Package placement tells callers which entry hosts to use.
//
// The answer lists hosts in the order of preference for the client account.
// Callers keep it for the time in ValidFor and go on to the next host when
// one does not answer.
package placement

import (
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
	for _, e := range h.rank(r.URL.Query().Get("account")) {
		a.EntryHosts = append(a.EntryHosts, entryHost{ID: e.ID, Address: e.CallerAddress, Zone: e.Zone})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a)
}

// rank returns the live hosts by rendezvous hashing of the account.
func (h *Handler) rank(account string) []sardineknot.EntryHost {
	var l []sardineknot.EntryHost
	for _, e := range h.Membership.Hosts() {
		if e.State == sardineknot.EntryHostAlive {
			l = append(l, e)
		}
	}
	slices.SortStableFunc(l, func(a, b sardineknot.EntryHost) int {
		if weight(account, a) > weight(account, b) {
			return -1
		}
		return 1
	})
	return l[:min(len(l), maxHosts)]
}

func weight(account string, e sardineknot.EntryHost) uint64 {
	return xxhash.Sum64String(account + "\x00" + string(e.ID))
}
