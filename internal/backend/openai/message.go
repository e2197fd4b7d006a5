package openai

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	api "sardineknot.example/sardineknot/internal/rpc/openai"
)

// completionRequest returns a completion request with the fields that prefill
// and decode have in common.
func completionRequest(server sardineknot.BackendServer, request sardineknot.EngineRequest) *api.CompletionRequest {
	var b strings.Builder
	b.WriteString(request.Prompt)
	for _, t := range request.PreviousTokens {
		b.WriteString(t.Text)
	}
	return &api.CompletionRequest{
		Model:       server.Model,
		Prompt:      b.String(),
		MaxTokens:   int32(request.MaxTokens),
		Priority:    int32(request.Priority),
		RequestId:   request.EngineRequestID(),
		User:        ownerUser(request),
		PriorTokens: int32(len(request.PreviousTokens)),
	}
}

// cacheFromParams converts the transfer parameters of a prefill response.
func cacheFromParams(params *api.KVTransferParams) sardineknot.KVCacheLocation {
	k := sardineknot.KVCacheLocation{
		EngineID: params.GetRemoteEngineId(),
		Address:  params.GetRemoteHost() + ":" + strconv.Itoa(int(params.GetRemotePort())),
	}
	for _, b := range params.GetRemoteBlockIds() {
		k.Blocks = append(k.Blocks, int(b))
	}
	return k
}

// transferParams converts cache to the transfer parameters of a decode. It
// fails with an InvalidError if the address of cache does not parse.
func transferParams(cache sardineknot.KVCacheLocation) (*api.KVTransferParams, error) {
	a, err := netip.ParseAddrPort(cache.Address)
	if err != nil {
		return nil, errors.WithStack(&sardineknot.InvalidError{What: "remote_host", Got: cache.Address, Expected: "an IP address and a port"})
	}
	p := &api.KVTransferParams{
		DoRemotePrefill: true,
		RemoteEngineId:  cache.EngineID,
		RemoteHost:      a.Addr().String(),
		RemotePort:      int32(a.Port()),
	}
	for _, b := range cache.Blocks {
		p.RemoteBlockIds = append(p.RemoteBlockIds, int32(b))
	}
	return p, nil
}

// heldRequest converts one entry of the list of requests that an engine holds.
// Fields that do not parse are left empty: a request that was not sent by an
// entry host has no owner.
func heldRequest(request *api.CompletionRequest) sardineknot.HeldRequest {
	h := sardineknot.HeldRequest{EngineRequestID: request.GetRequestId()}
	f := strings.Split(request.GetRequestId(), "/")
	if len(f) == 3 {
		h.Key.Account = sardineknot.ClientAccountName(f[0])
		h.Key.ID = sardineknot.RequestID(f[1])
	}
	o, n, _ := strings.Cut(request.GetUser(), userSeparator)
	i, err := strconv.ParseUint(n, 10, 64)
	if err != nil {
		return h
	}
	h.Owner = sardineknot.EntryHostID(o)
	h.OwnerIncarnation = sardineknot.Incarnation(i)
	return h
}
