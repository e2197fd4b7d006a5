package engine

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"sardineknot.example/sardineknot/internal/rpc/openai"
	"sardineknot.example/sardineknot/internal/standin/fault"
	"sardineknot.example/sardineknot/internal/standin/record"
)

const (
	maxRequestBytes = 8 << 20
	// resumeRetention is the time for which a completed decode can be resumed.
	resumeRetention = 10 * time.Second
)

// Server is an http.Handler for one engine. Set the fields before use. It is
// safe for concurrent use.
type Server struct {
	// Name identifies the engine in KV transfers and in its record.
	Name string
	// Address is the host and port from which decode engines read blocks.
	Address string
	// Model, Version and Role are the loaded model, its version and the role of
	// the engine. An order replaces them.
	Model   string
	Version string
	Role    string
	// Slots is the maximum number of concurrent decodes. It is positive.
	Slots int
	// TokenInterval is the time that a decode takes for each token.
	TokenInterval time.Duration
	// PrefillPerToken is the time that a prefill takes for each prompt token.
	PrefillPerToken time.Duration
	// EvictionDelay is the time from the end of a prefill to the eviction of
	// its blocks, if no decode engine has read the blocks by then.
	EvictionDelay time.Duration
	// Faults holds the active faults. It is not nil.
	Faults *fault.Injector
	// Log records events. It is not nil.
	Log *record.Recorder
	// Crash ends the process. It is not nil.
	Crash func()

	once sync.Once
	mux  *http.ServeMux

	mu sync.Mutex
	// prefills holds the blocks of running and completed prefills by request
	// identifier, until the blocks are freed.
	prefills map[string]*kvBlocks
	// decodes holds the decodes by request identifier. A completed decode
	// remains for resumeRetention, a cancelled decode until another decode has
	// the same identifier.
	decodes map[string]*decode
	// running is the number of occupied slots.
	running int
	// waiting is the number of requests that wait for a slot.
	waiting int
	// lastReport is the newest load report. serveLoad may return it repeatedly.
	lastReport loadReport
	// slotReleased is closed and replaced when a slot is released.
	slotReleased chan struct{}
	// lastBlockID is the identifier of the block allocated last.
	lastBlockID int32
	// highestFencingToken is the highest fencing token of all accepted orders.
	highestFencingToken int64
	// loading is true from the acceptance of an order until a load finishes.
	loading bool
}

// loadReport holds the numbers of running and waiting decodes at one time.
type loadReport struct {
	at      time.Time
	running int
	waiting int
}

func (s *Server) init() {
	s.mux = http.NewServeMux()
	s.prefills = make(map[string]*kvBlocks)
	s.decodes = make(map[string]*decode)
	s.slotReleased = make(chan struct{})
	s.Log.SetState(s.state)
	s.mux.Handle("GET "+record.Path, s.Log)
	s.mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	s.mux.HandleFunc("GET /v1/completions", s.serveResume)
	s.mux.HandleFunc("POST /abort_requests", s.serveAbort)
	s.mux.HandleFunc("GET /v1/requests", s.serveRequests)
	s.mux.HandleFunc("GET /kv", s.serveBlocks)
	s.mux.HandleFunc("GET /load", s.serveLoad)
	s.mux.HandleFunc("GET /v1/state", s.serveState)
	s.mux.HandleFunc("POST /v1/orders", s.serveOrder)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.init)
	s.mux.ServeHTTP(w, r)
}

// serveCompletion runs a prefill if the transfer parameters of the request ask
// for a remote decode, and a decode otherwise. The fault RefuseBeforeRunning is
// the number of requests that are refused instead.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var q openai.CompletionRequest
	if !decodeBody(w, r, &q) {
		return
	}
	if s.Faults.Consume("RefuseBeforeRunning") {
		s.Log.Add("refused", "request", q.GetRequestId())
		fail(w, http.StatusServiceUnavailable, "refused before running")
		return
	}
	if q.GetKvTransferParams().GetDoRemoteDecode() {
		s.servePrefill(w, r, &q)
		return
	}
	s.serveDecode(w, r, &q)
}

// serveAbort cancels a request. It fails while the fault IgnoreAborts is
// active.
func (s *Server) serveAbort(w http.ResponseWriter, r *http.Request) {
	var q openai.CompletionRequest
	if !decodeBody(w, r, &q) {
		return
	}
	if s.Faults.Active("IgnoreAborts") {
		fail(w, http.StatusInternalServerError, "abort failed")
		return
	}
	s.abort(q.GetRequestId())
	w.WriteHeader(http.StatusOK)
}

// abort cancels the prefill and the decode of the request with that identifier,
// if any.
func (s *Server) abort(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.prefills[id]; b != nil {
		delete(s.prefills, id)
		b.cancel()
		s.Log.Add("prefill_cancelled", "request", id)
	}
	if d := s.decodes[id]; d != nil {
		d.cancel()
	}
}

// serveRequests lists the requests that hold blocks or a slot, with their
// users.
func (s *Server) serveRequests(w http.ResponseWriter, _ *http.Request) {
	s.Log.Count("held")
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, b := range s.prefills {
		writeRequest(w, i, b.user)
	}
	for i, d := range s.decodes {
		if d.running {
			writeRequest(w, i, d.user)
		}
	}
}

// writeRequest writes one request as a JSON object on a line of its own.
func writeRequest(w io.Writer, id, user string) {
	b, err := protojson.Marshal(&openai.CompletionRequest{RequestId: id, User: user})
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(append(b, '\n'))
}

// serveLoad returns a load report. The fault LoadLag is the age at which a
// report is replaced by a new one; until then, it is returned again.
func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.Log.Count("load")
	s.mu.Lock()
	n := time.Now()
	if n.Sub(s.lastReport.at) >= s.Faults.Duration("LoadLag") {
		s.lastReport = loadReport{at: n, running: s.running, waiting: s.waiting}
	}
	l := s.lastReport
	s.mu.Unlock()
	_, _ = w.Write(marshal(&openai.LoadResponse{Running: int32(l.running), Waiting: int32(l.waiting)}))
}

// state returns the record line for the current state of the engine.
func (s *Server) state() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []string{fmt.Sprintf("state engine=%s running=%d prefills=%d", s.Name, s.running, len(s.prefills))}
}

func decodeBody(w http.ResponseWriter, r *http.Request, q proto.Message) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(b, q)
	}
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

func marshal(m proto.Message) []byte {
	b, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

func fail(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(marshal(&openai.ErrorResponse{Error: &openai.ErrorBody{Message: message}}))
}
