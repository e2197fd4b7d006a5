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

// backendPrefix starts the positions of backend servers. No entry host has an
// identifier that starts with it.
const backendPrefix = "\x00"

// position returns the key of m, which is unique over both kinds of host.
func position(m *api.Member) string {
	if m.GetBackend() {
		return backendPrefix + m.GetId()
	}
	return m.GetId()
}

// valid reports whether m can be kept.
func valid(m *api.Member) bool {
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

// with returns a copy of m in state s.
func with(m *api.Member, s sardineknot.EntryHostState) *api.Member {
	r := proto.CloneOf(m)
	r.State = int32(s)
	return r
}

// renewed returns a copy of m with an incarnation greater than previous.
func renewed(now time.Time, m *api.Member, previous uint64) *api.Member {
	r := proto.CloneOf(m)
	r.Incarnation = max(uint64(now.UnixNano()), previous+1)
	r.Refutation = 0
	return r
}

// supersedes reports whether a is greater than b.
func supersedes(a, b *api.Member) bool { return compare(a, b) > 0 }

// compare orders records of the same host. Only equal records compare equal.
func compare(a, b *api.Member) int {
	return cmp.Or(
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(death(a), death(b)),
		cmp.Compare(a.GetRefutation(), b.GetRefutation()),
		cmp.Compare(a.GetState(), b.GetState()),
		cmp.Compare(a.GetPeerAddress(), b.GetPeerAddress()),
		cmp.Compare(a.GetCallerAddress(), b.GetCallerAddress()),
		cmp.Compare(a.GetZone(), b.GetZone()),
	)
}

func death(m *api.Member) int {
	if state(m) == sardineknot.EntryHostDead {
		return 1
	}
	return 0
}

// hash returns a hash of all fields that compare looks at.
func hash(m *api.Member) uint64 {
	b := make([]byte, 0, 128)
	b = append(b, position(m)...)
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

// weight returns the part of m in a digest.
func weight(m *api.Member) uint64 {
	if state(m) == sardineknot.EntryHostDead || m.GetBackend() && state(m) == sardineknot.EntryHostAlive {
		return 0
	}
	return hash(m)
}

// entryHost converts the record of an entry host.
func entryHost(m *api.Member) sardineknot.EntryHost {
	// An address that does not parse stays the zero address.
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
