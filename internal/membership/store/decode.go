package store

import (
	"encoding/json"
	"net/netip"
	"strconv"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// maxProcessor is the greatest processor that a host may have, in cores.
const maxProcessor = 4096

// decode decodes b, the value of the key of entry host i.
func decode(i sardineknot.EntryHostID, b []byte) (sardineknot.EntryHost, error) {
	var v record
	if err := json.Unmarshal(b, &v); err != nil {
		return sardineknot.EntryHost{}, errors.WithStack(err)
	}
	c, err := decodeAddress(v.CallerAddress)
	if err != nil {
		return sardineknot.EntryHost{}, err
	}
	p, err := decodeAddress(v.PeerAddress)
	if err != nil {
		return sardineknot.EntryHost{}, err
	}
	if v.Processor < 0 || v.Processor > maxProcessor {
		return sardineknot.EntryHost{}, errors.WithStack(&sardineknot.InvalidError{What: "processor of " + string(i), Got: strconv.FormatFloat(v.Processor, 'g', -1, 64), Expected: "0 to " + strconv.Itoa(maxProcessor) + " cores"})
	}
	if v.LinkMegabits < 0 {
		return sardineknot.EntryHost{}, errors.WithStack(&sardineknot.InvalidError{What: "link of " + string(i), Got: strconv.FormatFloat(v.LinkMegabits, 'g', -1, 64), Expected: "at least 0 megabits a second"})
	}
	h := sardineknot.EntryHost{ID: i, Incarnation: v.Incarnation, CallerAddress: c, PeerAddress: p, Zone: v.Zone, Processor: v.Processor, LinkMegabits: v.LinkMegabits}
	if v.Leaving {
		h.State = sardineknot.EntryHostLeaving
	}
	return h, nil
}

// decodeAddress decodes text, to which connections must be possible.
func decodeAddress(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err == nil && a.Port() == 0 {
		err = &sardineknot.InvalidError{What: "address", Got: text, Expected: "a port"}
	}
	return a, errors.WithStack(err)
}
