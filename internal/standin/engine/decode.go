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

// decode is a stream of tokens.
type decode struct {
	// user names the entry host that holds the request.
	user   string
	cancel context.CancelFunc
	// running tells whether the decode holds a slot.
	running bool
	// first is the index of the first token that this engine generates.
	first int
	// tokens holds the texts generated so far.
	tokens []string
	// ended tells that all tokens are generated.
	ended bool
	// grown is closed and replaced at every change.
	grown chan struct{}
}

func (s *Server) startDecode(w http.ResponseWriter, r *http.Request, q *openai.CompletionRequest) {
	i := q.GetRequestId()
	if !s.takeSlot(r.Context(), i) {
		return
	}
	err := s.readBlocks(r.Context(), q)
	if err != nil {
		s.freeSlot()
		s.Log.Add("import_failed", "request", i)
		fail(w, http.StatusConflict, err.Error())
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &decode{
		user:    q.GetUser(),
		cancel:  cancel,
		running: true,
		first:   int(q.GetPriorTokens()),
		grown:   make(chan struct{}),
	}
	s.mu.Lock()
	s.decodes[i] = d
	s.mu.Unlock()
	s.Log.Add("decode_started", "request", i, "prior", d.first)
	go s.generate(ctx, q, d)
	s.stream(w, r, i, d, d.first)
}

// takeSlot waits for a free slot for the request id and reports whether it got one.
func (s *Server) takeSlot(ctx context.Context, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting++
	defer func() { s.waiting-- }()
	if s.running >= s.Slots {
		s.Log.Add("decode_queued", "request", id)
	}
	for s.running >= s.Slots {
		c := s.freed
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

func (s *Server) freeSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	close(s.freed)
	s.freed = make(chan struct{})
}

// readBlocks imports the KV cache that q names.
func (s *Server) readBlocks(ctx context.Context, q *openai.CompletionRequest) error {
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

// generate adds tokens to d until it has all or ctx is done.
func (s *Server) generate(ctx context.Context, q *openai.CompletionRequest, d *decode) {
	i := q.GetRequestId()
	h := promptHash(q)
	for n := d.first; n < int(q.GetMaxTokens()); n++ {
		if !sleep(ctx, s.TokenInterval+s.Faults.Duration("TokenDelay")) {
			s.end(d, false)
			s.Log.Add("decode_cancelled", "request", i, "tokens", n)
			return
		}
		if c := s.Faults.Int("CrashAfterTokens"); c > 0 && n >= c {
			s.Crash()
		}
		s.grow(d, Token(h, n))
	}
	s.end(d, true)
	s.Log.Add("decode_done", "request", i)
	time.AfterFunc(resumable, func() { s.forget(i) })
}

func (s *Server) grow(d *decode, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.tokens = append(d.tokens, text)
	close(d.grown)
	d.grown = make(chan struct{})
}

// end frees the slot of d. complete tells that all tokens are generated.
func (s *Server) end(d *decode, complete bool) {
	s.mu.Lock()
	d.running = false
	d.ended = complete
	close(d.grown)
	d.grown = make(chan struct{})
	s.mu.Unlock()
	s.freeSlot()
}

func (s *Server) forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.decodes, id)
}

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
	if d == nil || n+1 < d.first {
		fail(w, http.StatusNotFound, "no such stream")
		return
	}
	s.Log.Add("resumed", "request", i, "offset", n+1)
	s.stream(w, r, i, d, n+1)
}

// stream writes the tokens of d from index n on as server-sent events. The
// fault StallAfterTokens silences the connection at that index.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string, d *decode, n int) {
	w.Header().Set("Content-Type", "text/event-stream")
	f := http.NewResponseController(w)
	_ = f.Flush()
	for {
		l, e, a, c := s.since(d, n)
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

// stall blocks until ctx is done if the stream is to go silent at token n.
func (s *Server) stall(ctx context.Context, n int) {
	if c := s.Faults.Int("StallAfterTokens"); c > 0 && n == c && s.Faults.Take("Stalls") {
		s.Log.Add("stalled", "token", n)
		<-ctx.Done()
	}
}

func (s *Server) since(d *decode, n int) (l []string, ended, running bool, grown <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n-d.first < len(d.tokens) {
		l = append(l, d.tokens[n-d.first:]...)
	}
	return l, d.ended, d.running, d.grown
}

func writeToken(w http.ResponseWriter, id string, n int, text string) {
	m := &openai.CompletionResponse{Id: id, Choices: []*openai.Choice{{Text: text}}}
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, marshal(m))
}

// promptHash returns a hash of q's prompt without the tokens of the answer.
func promptHash(q *openai.CompletionRequest) uint32 {
	p := q.GetPrompt()
	n := len(p) - tokenBytes*int(q.GetPriorTokens())
	h := fnv.New32a()
	_, _ = h.Write([]byte(p[:max(n, 0)]))
	return h.Sum32()
}

// Token returns the text of token n of the answer to a prompt with hash h.
func Token(h uint32, n int) string {
	return fmt.Sprintf(" %05x%04d", h&0xfffff, n%10000)
}
