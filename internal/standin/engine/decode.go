package engine

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sardineknot.example/sardineknot/internal/rpc/openai"
)

// tokenBytes is the length of every token's text, in bytes.
const tokenBytes = 10

// decode holds the state of the decode phase of one request.
type decode struct {
	// user identifies the entry host that sent the request or, after a resume,
	// the host that resumed the stream last.
	user   string
	cancel context.CancelFunc
	// running reports whether the decode holds a slot.
	running bool
	// firstIndex is the index of the first token that this engine generates. It
	// exceeds 0 if another engine generated the tokens before it.
	firstIndex int
	// tokens holds the text of each token generated so far.
	tokens []string
	// completed reports whether all tokens are generated.
	completed bool
	// changed is closed and replaced whenever tokens, running or completed
	// changes.
	changed chan struct{}
}

// serveDecode waits for a slot, imports the KV cache, starts the decode and
// streams its tokens. The decode continues if the client disconnects.
func (s *Server) serveDecode(w http.ResponseWriter, r *http.Request, q *openai.CompletionRequest) {
	i := q.GetRequestId()
	if !s.acquireSlot(r.Context(), i) {
		return
	}
	err := s.importBlocks(r.Context(), q)
	if err != nil {
		s.releaseSlot()
		s.Log.Add("import_failed", "request", i)
		fail(w, http.StatusConflict, err.Error())
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &decode{
		user:       q.GetUser(),
		cancel:     cancel,
		running:    true,
		firstIndex: int(q.GetPriorTokens()),
		changed:    make(chan struct{}),
	}
	s.mu.Lock()
	s.decodes[i] = d
	s.mu.Unlock()
	s.Log.Add("decode_started", "request", i, "prior", d.firstIndex)
	go s.generate(ctx, q, d)
	s.stream(w, r, i, d, d.firstIndex)
}

// acquireSlot waits until a slot is free and occupies it. It returns false if
// ctx is done first. The request identifier is used only in the record.
func (s *Server) acquireSlot(ctx context.Context, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting++
	defer func() { s.waiting-- }()
	if s.running >= s.Slots {
		s.Log.Add("decode_queued", "request", id)
	}
	for s.running >= s.Slots {
		c := s.slotReleased
		s.mu.Unlock()
		select {
		case <-c:
		case <-ctx.Done():
		}
		s.mu.Lock()
		if ctx.Err() != nil {
			return false
		}
	}
	s.running++
	return true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	close(s.slotReleased)
	s.slotReleased = make(chan struct{})
}

// importBlocks imports the KV cache of q from the prefill engine that its
// transfer parameters name.
func (s *Server) importBlocks(ctx context.Context, q *openai.CompletionRequest) error {
	p := q.GetKvTransferParams()
	u := fmt.Sprintf("http://%s:%d/kv?request_id=%s", p.GetRemoteHost(), p.GetRemotePort(), url.QueryEscape(q.GetRequestId()))
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return err
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("import: status %d", a.StatusCode)
	}
	return nil
}

// generate appends tokens to d until d is complete or ctx is done. A completed
// decode can be resumed for resumeRetention. The fault TokenDelay is an extra
// delay of each token. The fault CrashAfterTokens, if positive, is a token
// index: generate calls Crash before it generates a token of that index or a
// higher one.
func (s *Server) generate(ctx context.Context, q *openai.CompletionRequest, d *decode) {
	i := q.GetRequestId()
	h := promptHash(q)
	for n := d.firstIndex; n < int(q.GetMaxTokens()); n++ {
		if !sleep(ctx, s.TokenInterval+s.Faults.Duration("TokenDelay")) {
			s.endDecode(d, false)
			s.Log.Add("decode_cancelled", "request", i, "tokens", n)
			return
		}
		if c := s.Faults.Int("CrashAfterTokens"); c > 0 && n >= c {
			s.Crash()
		}
		s.appendToken(d, Token(h, n))
	}
	s.endDecode(d, true)
	s.Log.Add("decode_done", "request", i)
	time.AfterFunc(resumeRetention, func() { s.removeDecode(i) })
}

func (s *Server) appendToken(d *decode, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.tokens = append(d.tokens, text)
	close(d.changed)
	d.changed = make(chan struct{})
}

// endDecode marks d as ended and releases its slot. complete reports whether
// all tokens are generated.
func (s *Server) endDecode(d *decode, complete bool) {
	s.mu.Lock()
	d.running = false
	d.completed = complete
	close(d.changed)
	d.changed = make(chan struct{})
	s.mu.Unlock()
	s.releaseSlot()
}

func (s *Server) removeDecode(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.decodes, id)
}

// serveResume streams the tokens of a decode that follow the index in the
// Last-Event-ID header. It replaces the user of the decode by the user in the
// query.
func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) {
	i := r.URL.Query().Get("request_id")
	n, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil {
		fail(w, http.StatusBadRequest, "Last-Event-ID is not a number")
		return
	}
	s.mu.Lock()
	d := s.decodes[i]
	if d != nil {
		d.user = r.URL.Query().Get("user")
	}
	s.mu.Unlock()
	if d == nil || n+1 < d.firstIndex {
		fail(w, http.StatusNotFound, "no such stream")
		return
	}
	s.Log.Add("resumed", "request", i, "offset", n+1)
	s.stream(w, r, i, d, n+1)
}

// stream writes the tokens of d as server-sent events, starting with the token
// at index n. It writes "[DONE]" at the end of a completed decode and aborts
// the connection if d is cancelled. It calls stall before each token.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string, d *decode, n int) {
	w.Header().Set("Content-Type", "text/event-stream")
	f := http.NewResponseController(w)
	_ = f.Flush()
	for {
		l, e, a, c := s.tokensFrom(d, n)
		for _, t := range l {
			s.stall(r.Context(), n)
			writeToken(w, id, n, t)
			n++
		}
		if e {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		if !a {
			panic(http.ErrAbortHandler)
		}
		_ = f.Flush()
		select {
		case <-c:
		case <-r.Context().Done():
			return
		}
	}
}

// stall blocks until ctx is done if the fault StallAfterTokens equals index and
// the fault Stalls is positive. Stalls is the number of streams that remain to
// be stalled; stall decrements it.
func (s *Server) stall(ctx context.Context, index int) {
	if c := s.Faults.Int("StallAfterTokens"); c > 0 && index == c && s.Faults.Consume("Stalls") {
		s.Log.Add("stalled", "token", index)
		<-ctx.Done()
	}
}

// tokensFrom returns the tokens that d has generated so far, starting at index,
// and whether d is completed or running. The channel changed is closed at the
// next change of d.
func (s *Server) tokensFrom(d *decode, index int) (l []string, completed, running bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index-d.firstIndex < len(d.tokens) {
		l = append(l, d.tokens[index-d.firstIndex:]...)
	}
	return l, d.completed, d.running, d.changed
}

func writeToken(w http.ResponseWriter, id string, index int, text string) {
	m := &openai.CompletionResponse{Id: id, Choices: []*openai.Choice{{Text: text}}}
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", index, marshal(m))
}

// promptHash returns the FNV-1a hash of the original prompt of q. If q
// continues an answer, its prompt ends with the tokens that earlier engines
// generated. These tokens are excluded, so that every engine generates the same
// answer.
func promptHash(q *openai.CompletionRequest) uint32 {
	p := q.GetPrompt()
	n := len(p) - tokenBytes*int(q.GetPriorTokens())
	h := fnv.New32a()
	_, _ = h.Write([]byte(p[:max(n, 0)]))
	return h.Sum32()
}

// Token returns the text of one token of an answer. hash is the 32-bit FNV-1a
// hash of the prompt, and index is the index of the token, starting at 0.
func Token(hash uint32, index int) string {
	return fmt.Sprintf(" %05x%04d", hash&0xfffff, index%10000)
}
