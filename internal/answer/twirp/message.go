package twirp

import (
	"net/netip"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/answers"
)

func encode(r sardineknot.AnswerRecord) *rpc.Record {
	return &rpc.Record{
		Account:     string(r.Key.Account),
		Request:     string(r.Key.ID),
		Host:        string(r.Host),
		Incarnation: uint64(r.Incarnation),
		PeerAddress: r.PeerAddress.String(),
		Decode:      string(r.DecodeEngine),
		Attempt:     int32(r.Attempt),
		Ended:       r.Ended,
	}
}

// decode returns the record that m encodes. An address that does not parse
// becomes the zero AddrPort.
func decode(m *rpc.Record) sardineknot.AnswerRecord {
	a, err := netip.ParseAddrPort(m.GetPeerAddress())
	if err != nil {
		a = netip.AddrPort{}
	}
	return sardineknot.AnswerRecord{
		Key: sardineknot.RequestKey{
			Account: sardineknot.ClientAccountName(m.GetAccount()),
			ID:      sardineknot.RequestID(m.GetRequest()),
		},
		Host:         sardineknot.EntryHostID(m.GetHost()),
		Incarnation:  sardineknot.Incarnation(m.GetIncarnation()),
		PeerAddress:  a,
		DecodeEngine: sardineknot.BackendServerName(m.GetDecode()),
		Attempt:      int(m.GetAttempt()),
		Ended:        m.GetEnded(),
	}
}
