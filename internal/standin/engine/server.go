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
	// resumable is the time for which a finished stream can be read again.
	resumable = 10 * time.Second
)

// Server is an http.Handler for one engine. Set the fields before use. It is
// safe for concurrent use.
type Server struct {
	// Name identifies the engine in KV transfers.
	Name string
	// Address is where decode engines read blocks from.
	Address string
	// Model, Version and Role are what the engine serves.
	Model   string
	Version string
	Role    string
	// Slots is the number of decodes at once. It is positive.
	Slots int
	// TokenInterval is the time between two tokens of a decode.
	TokenInterval time.Duration
	// PrefillPerToken is the time that a prefill takes for each prompt token.
	PrefillPerToken time.Duration
	// Eviction is the life of a prefill's blocks.
	Eviction time.Duration
	// Faults and Log are not nil.
	Faults *fault.Control
	Log    *record.Recorder
	// Crash ends the process. It is not nil.
	Crash func()

	once sync.Once
	mux  *http.ServeMux

	mu sync.Mutex
	// prefills holds the blocks of prefills that wait to be read.
	prefills map[string]*blocks
	// decodes holds the streams that run or can be resumed.
	decodes map[string]*decode
	// running counts the decodes that hold a slot.
	running int
	// waiting counts the decodes that wait for a slot.
	waiting int
	// reported is the last report of the load.
	reported load
	// freed is closed and replaced when a slot is freed.
	freed chan struct{}
	// lastBlock is the last block identifier given out.
	lastBlock int32
	// number is the highest fencing number seen.
	number int64
	// loading tells that Model, Version and Role are about to change.
	loading bool
}

// load is a report of the load at a time.
type load struct {
	at      time.Time
	running int
	waiting int
}

func (s *Server) init() {
	s.mux = http.NewServeMux()
	s.prefills = make(map[string]*blocks)
	s.decodes = make(map[string]*decode)
	s.freed = make(chan struct{})
	s.Log.Describe(s.state)
	s.mux.Handle("GET "+record.Path, s.Log)
	s.mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	s.mux.HandleFunc("GET /v1/completions", s.serveResume)
	s.mux.HandleFunc("POST /abort_requests", s.serveAbort)
	s.mux.HandleFunc("GET /v1/requests", s.serveHeld)
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

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var q openai.CompletionRequest
	if !decodeBody(w, r, &q) {
		return
	}
	if s.Faults.Take("RefuseBeforeRunning") {
		s.Log.Add("refused", "request", q.GetRequestId())
		fail(w, http.StatusServiceUnavailable, "refused before running")
		return
	}
	if q.GetKvTransferParams().GetDoRemoteDecode() {
		s.prefill(w, r, &q)
		return
	}
	s.startDecode(w, r, &q)
}

func (s *Server) serveAbort(w http.ResponseWriter, r *http.Request) {
	var q openai.CompletionRequest
	if !decodeBody(w, r, &q) {
		return
	}
	if s.Faults.On("IgnoreAborts") {
		fail(w, http.StatusInternalServerError, "abort failed")
		return
	}
	s.abort(q.GetRequestId())
	w.WriteHeader(http.StatusOK)
}

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

func (s *Server) serveHeld(w http.ResponseWriter, _ *http.Request) {
	s.Log.Count("held")
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, b := range s.prefills {
		writeHeld(w, i, b.user)
	}
	for i, d := range s.decodes {
		if d.running {
			writeHeld(w, i, d.user)
		}
	}
}

// writeHeld writes one JSON object on a line of its own.
func writeHeld(w io.Writer, id, user string) {
	b, err := protojson.Marshal(&openai.CompletionRequest{RequestId: id, User: user})
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(append(b, '\n'))
}

// serveLoad reports the load. The fault LoadLag is the longest age of a report.
func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.Log.Count("load")
	s.mu.Lock()
	n := time.Now()
	if n.Sub(s.reported.at) >= s.Faults.Duration("LoadLag") {
		s.reported = load{at: n, running: s.running, waiting: s.waiting}
	}
	l := s.reported
	s.mu.Unlock()
	_, _ = w.Write(marshal(&openai.LoadResponse{Running: int32(l.running), Waiting: int32(l.waiting)}))
}

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
