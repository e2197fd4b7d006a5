package engine

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"sardineknot.example/sardineknot/internal/rpc/openai"
)

// blocks is the result of a prefill.
type blocks struct {
	ids    []int32
	user   string
	cancel context.CancelFunc
}

// tokensPerBlock is the granularity of engine memory, in tokens.
const tokensPerBlock = 2000

func (s *Server) prefill(w http.ResponseWriter, r *http.Request, q *openai.CompletionRequest) {
	i := q.GetRequestId()
	n := len(strings.Fields(q.GetPrompt()))
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	b := s.hold(q, n, cancel)
	s.Log.Add("prefill_started", "request", i, "tokens", n)
	if !sleep(ctx, time.Duration(n)*s.PrefillPerToken+s.Faults.Duration("PrefillDelay")) {
		s.drop(i, "prefill_abandoned")
		panic(http.ErrAbortHandler)
	}
	s.Log.Add("prefill_done", "request", i)
	time.AfterFunc(s.Eviction, func() { s.drop(i, "prefill_wasted") })
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

func (s *Server) hold(q *openai.CompletionRequest, tokens int, cancel context.CancelFunc) *blocks {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &blocks{user: q.GetUser(), cancel: cancel}
	for range 1 + tokens/tokensPerBlock {
		s.lastBlock++
		b.ids = append(b.ids, s.lastBlock)
	}
	s.prefills[q.GetRequestId()] = b
	return b
}

// drop frees the blocks of a prefill that nobody read.
func (s *Server) drop(id, event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prefills[id] == nil {
		return
	}
	delete(s.prefills, id)
	s.Log.Add(event, "request", id)
}

// serveBlocks hands blocks to a decode engine, once.
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

// sleep waits for d and reports whether ctx is still alive then.
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
