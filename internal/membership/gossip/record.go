package gossip

import (
	"cmp"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"sardineknot.example/sardineknot"
	api "sardineknot.example/sardineknot/internal/rpc/membership"
)

// backendPrefix is the prefix of the record keys of backend servers. No
// identifier of an entry host starts with it.
const backendPrefix = "\x00"

// recordKey returns the key of m. Keys of entry hosts and backend servers are
// distinct.
func recordKey(m *api.Member) string {
	if m.GetBackend() {
		return backendPrefix + m.GetId()
	}
	return m.GetId()
}

// isValid reports whether m is well formed. Records that are not are ignored.
func isValid(m *api.Member) bool {
	if m.GetId() == "" || m.GetIncarnation() == 0 || state(m).String() == "unknown" {
		return false
	}
	if m.GetBackend() {
		return true
	}
	_, err := netip.ParseAddrPort(m.GetPeerAddress())
	return err == nil
}

func state(m *api.Member) sardineknot.EntryHostState {
	return sardineknot.EntryHostState(m.GetState())
}

// withState returns a copy of m in state s.
func withState(m *api.Member, s sardineknot.EntryHostState) *api.Member {
	r := proto.CloneOf(m)
	r.State = int32(s)
	return r
}

// withNewIncarnation returns a copy of m with an incarnation greater than
// previous and no refutation. The incarnation is the time now, unless the clock
// is behind previous.
func withNewIncarnation(now time.Time, m *api.Member, previous uint64) *api.Member {
	r := proto.CloneOf(m)
	r.Incarnation = max(uint64(now.UnixNano()), previous+1)
	r.Refutation = 0
	return r
}

// supersedes reports whether record a is greater than record b of the same
// host.
func supersedes(a, b *api.Member) bool { return compare(a, b) > 0 }

// compare orders records of the same host. It returns zero only for equal
// records.
func compare(a, b *api.Member) int {
	return cmp.Or(
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(deathRank(a), deathRank(b)),
		cmp.Compare(a.GetRefutation(), b.GetRefutation()),
		cmp.Compare(a.GetState(), b.GetState()),
		cmp.Compare(a.GetPeerAddress(), b.GetPeerAddress()),
		cmp.Compare(a.GetCallerAddress(), b.GetCallerAddress()),
		cmp.Compare(a.GetZone(), b.GetZone()),
	)
}

// deathRank returns 1 for the record of a dead host and 0 otherwise.
func deathRank(m *api.Member) int {
	if state(m) == sardineknot.EntryHostDead {
		return 1
	}
	return 0
}

// hash returns a hash of the record key and of all fields that compare uses.
func hash(m *api.Member) uint64 {
	b := make([]byte, 0, 128)
	b = append(b, recordKey(m)...)
	b = append(b, 0)
	b = strconv.AppendUint(b, m.GetIncarnation(), 10)
	b = append(b, 0)
	b = strconv.AppendUint(b, uint64(m.GetRefutation()), 10)
	b = append(b, 0, byte(m.GetState()))
	b = append(b, m.GetPeerAddress()...)
	b = append(b, 0)
	b = append(b, m.GetCallerAddress()...)
	b = append(b, 0)
	b = append(b, m.GetZone()...)
	return xxhash.Sum64(b)
}

// digestTerm returns the contribution of m to the digest, which is zero for
// records that hosts delete at different times.
func digestTerm(m *api.Member) uint64 {
	if state(m) == sardineknot.EntryHostDead || m.GetBackend() && state(m) == sardineknot.EntryHostAlive {
		return 0
	}
	return hash(m)
}

// EntryHost converts m, the record of an entry host. An address that does not
// parse becomes the zero AddrPort.
func EntryHost(m *api.Member) sardineknot.EntryHost {
	c, _ := netip.ParseAddrPort(m.GetCallerAddress())
	p, _ := netip.ParseAddrPort(m.GetPeerAddress())
	return sardineknot.EntryHost{
		ID:            sardineknot.EntryHostID(m.GetId()),
		Incarnation:   sardineknot.Incarnation(m.GetIncarnation()),
		CallerAddress: c,
		PeerAddress:   p,
		Zone:          sardineknot.AvailabilityZone(m.GetZone()),
		State:         state(m),
	}
}
