package openai

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	api "sardineknot.example/sardineknot/internal/rpc/openai"
)

// completion returns the fields that prefill and decode share.
func completion(s sardineknot.BackendServer, r sardineknot.EngineRequest) *api.CompletionRequest {
	var b strings.Builder
	b.WriteString(r.Prompt)
	for _, t := range r.Prior {
		b.WriteString(t.Text)
	}
	return &api.CompletionRequest{
		Model:       s.Model,
		Prompt:      b.String(),
		MaxTokens:   int32(r.MaxTokens),
		Priority:    int32(r.Priority),
		RequestId:   r.EngineKey(),
		User:        user(r),
		PriorTokens: int32(len(r.Prior)),
	}
}

// cache converts the transfer parameters of a prefill's answer.
func cache(p *api.KVTransferParams) sardineknot.KVCache {
	k := sardineknot.KVCache{
		EngineID: p.GetRemoteEngineId(),
		Address:  p.GetRemoteHost() + ":" + strconv.Itoa(int(p.GetRemotePort())),
	}
	for _, b := range p.GetRemoteBlockIds() {
		k.Blocks = append(k.Blocks, int(b))
	}
	return k
}

// transferParams converts k to the transfer parameters of a decode. It fails
// with an InvalidError if the address of k does not parse.
func transferParams(k sardineknot.KVCache) (*api.KVTransferParams, error) {
	a, err := netip.ParseAddrPort(k.Address)
	if err != nil {
		return nil, errors.WithStack(&sardineknot.InvalidError{What: "remote_host", Got: k.Address, Expected: "an IP address and a port"})
	}
	p := &api.KVTransferParams{
		DoRemotePrefill: true,
		RemoteEngineId:  k.EngineID,
		RemoteHost:      a.Addr().String(),
		RemotePort:      int32(a.Port()),
	}
	for _, b := range k.Blocks {
		p.RemoteBlockIds = append(p.RemoteBlockIds, int32(b))
	}
	return p, nil
}

// held converts one entry of an engine's list. Fields that do not parse are
// left empty, so that a foreign request has no owner.
func held(q *api.CompletionRequest) sardineknot.HeldRequest {
	h := sardineknot.HeldRequest{EngineKey: q.GetRequestId()}
	f := strings.Split(q.GetRequestId(), "/")
	if len(f) == 3 {
		h.Key.Account = sardineknot.ClientAccountName(f[0])
		h.Key.ID = sardineknot.RequestID(f[1])
	}
	o, n, _ := strings.Cut(q.GetUser(), userSeparator)
	i, err := strconv.ParseUint(n, 10, 64)
	if err != nil {
		return h
	}
	h.Owner = sardineknot.EntryHostID(o)
	h.OwnerIncarnation = sardineknot.Incarnation(i)
	return h
}
