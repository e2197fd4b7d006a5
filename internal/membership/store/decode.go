package store

import (
	"encoding/json"
	"net/netip"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// decode decodes b, the value of the key of entry host i.
func decode(i sardineknot.EntryHostID, b []byte) (sardineknot.EntryHost, error) {
	var v record
	if err := json.Unmarshal(b, &v); err != nil {
		return sardineknot.EntryHost{}, errors.WithStack(err)
	}
	c, err := netip.ParseAddrPort(v.CallerAddress)
	if err != nil {
		return sardineknot.EntryHost{}, errors.WithStack(err)
	}
	p, err := netip.ParseAddrPort(v.PeerAddress)
	if err != nil {
		return sardineknot.EntryHost{}, errors.WithStack(err)
	}
	h := sardineknot.EntryHost{ID: i, Incarnation: v.Incarnation, CallerAddress: c, PeerAddress: p, Zone: v.Zone, Processor: v.Processor}
	if v.Leaving {
		h.State = sardineknot.EntryHostLeaving
	}
	return h, nil
}
