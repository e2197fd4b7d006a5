package engine

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"sardineknot.example/sardineknot/internal/rpc/openai"
)

// kvBlocks describes the KV cache blocks that a prefill allocated for its
// prompt.
type kvBlocks struct {
	ids []int32
	// user identifies the entry host that sent the request.
	user   string
	cancel context.CancelFunc
}

// tokensPerBlock is the number of tokens whose KV cache fits into one block.
const tokensPerBlock = 2000

// servePrefill runs a prefill and responds with the transfer parameters that a
// decode engine needs to read the blocks. If the client disconnects or the
// request is cancelled before the prefill is done, servePrefill frees the
// blocks and aborts the connection. The fault PrefillDelay is an extra delay of
// the prefill.
func (s *Server) servePrefill(w http.ResponseWriter, r *http.Request, q *openai.CompletionRequest) {
	i := q.GetRequestId()
	n := len(strings.Fields(q.GetPrompt()))
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	b := s.allocateBlocks(q, n, cancel)
	s.Log.Add("prefill_started", "request", i, "tokens", n)
	if !sleep(ctx, time.Duration(n)*s.PrefillPerToken+s.Faults.Duration("PrefillDelay")) {
		s.discardPrefill(i, "prefill_abandoned")
		panic(http.ErrAbortHandler)
	}
	s.Log.Add("prefill_done", "request", i)
	time.AfterFunc(s.EvictionDelay, func() { s.discardPrefill(i, "prefill_wasted") })
	a := netip.MustParseAddrPort(s.Address)
	p := &openai.KVTransferParams{
		DoRemotePrefill: true,
		RemoteEngineId:  s.Name,
		RemoteBlockIds:  b.ids,
		RemoteHost:      a.Addr().String(),
		RemotePort:      int32(a.Port()),
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(marshal(&openai.CompletionResponse{Id: i, KvTransferParams: p}))
}

// allocateBlocks allocates the blocks for the prompt of q, whose length in
// tokens is given, and stores them in s.prefills. cancel cancels the prefill.
func (s *Server) allocateBlocks(q *openai.CompletionRequest, tokens int, cancel context.CancelFunc) *kvBlocks {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &kvBlocks{user: q.GetUser(), cancel: cancel}
	for range 1 + tokens/tokensPerBlock {
		s.lastBlockID++
		b.ids = append(b.ids, s.lastBlockID)
	}
	s.prefills[q.GetRequestId()] = b
	return b
}

// discardPrefill frees the blocks of the prefill with that request identifier
// and records event. It does nothing if the blocks are freed already, because a
// decode engine has read them or the request was cancelled.
func (s *Server) discardPrefill(id, event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prefills[id] == nil {
		return
	}
	delete(s.prefills, id)
	s.Log.Add(event, "request", id)
}

// serveBlocks transfers the blocks of a prefill to a decode engine and frees
// them, so that a second read fails. The fault TransferDelay delays the
// transfer.
func (s *Server) serveBlocks(w http.ResponseWriter, r *http.Request) {
	i := r.URL.Query().Get("request_id")
	if !sleep(r.Context(), s.Faults.Duration("TransferDelay")) {
		return
	}
	s.mu.Lock()
	b := s.prefills[i]
	delete(s.prefills, i)
	s.mu.Unlock()
	if b == nil {
		fail(w, http.StatusNotFound, "blocks are gone")
		return
	}
	s.Log.Add("prefill_used", "request", i)
	w.WriteHeader(http.StatusOK)
}

// sleep waits for d. It returns false if ctx is done by then.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
