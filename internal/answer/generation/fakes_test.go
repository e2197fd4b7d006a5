package generation_test

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/buffer"
	"sardineknot.example/sardineknot/internal/answer/cancel"
	"sardineknot.example/sardineknot/internal/answer/generation"
	"sardineknot.example/sardineknot/internal/answer/pause"
	"sardineknot.example/sardineknot/internal/backend/budget"
	"sardineknot.example/sardineknot/internal/host/clock"
)

var self = sardineknot.EntryHost{ID: "self", Incarnation: 1}

// engines is a fake sardineknot.EngineClient for all engines. Tests can replace
// the functions prefill, decode and resume, which determine the results of the
// methods. The fake records the engine request IDs of prefills and
// cancellations.
type engines struct {
	mu        sync.Mutex
	prefill   func(ctx context.Context, r sardineknot.EngineRequest) error
	decode    func(ctx context.Context, r sardineknot.EngineRequest) (sardineknot.TokenStream, error)
	resume    func(ctx context.Context, r sardineknot.EngineRequest, offset int) (sardineknot.TokenStream, error)
	prefilled []string
	cancelled []string
}

func (e *engines) Prefill(ctx context.Context, _ sardineknot.BackendServer, r sardineknot.EngineRequest) (sardineknot.KVCacheLocation, error) {
	e.mu.Lock()
	e.prefilled = append(e.prefilled, r.EngineRequestID())
	e.mu.Unlock()
	return sardineknot.KVCacheLocation{}, e.prefill(ctx, r)
}

func (e *engines) Decode(ctx context.Context, _ sardineknot.BackendServer, r sardineknot.EngineRequest, _ sardineknot.KVCacheLocation) (sardineknot.TokenStream, error) {
	return e.decode(ctx, r)
}

func (e *engines) Resume(ctx context.Context, _ sardineknot.BackendServer, r sardineknot.EngineRequest, offset int) (sardineknot.TokenStream, error) {
	return e.resume(ctx, r, offset)
}

func (e *engines) Cancel(_ context.Context, _ sardineknot.BackendServer, k string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = append(e.cancelled, k)
	return nil
}

func (*engines) HeldRequests(context.Context, sardineknot.BackendServer) ([]sardineknot.HeldRequest, error) {
	return nil, nil
}

func (*engines) Load(context.Context, sardineknot.BackendServer) (sardineknot.LoadReport, error) {
	return sardineknot.LoadReport{}, nil
}

// stream is a fake sardineknot.TokenStream. It returns the tokens with the
// indexes from next to end-1 and then fails with err.
type stream struct {
	next, end int
	err       error
}

func (s *stream) Next() (sardineknot.Token, error) {
	if s.next == s.end {
		return sardineknot.Token{}, s.err
	}
	s.next++
	return sardineknot.Token{Index: s.next - 1}, nil
}

func (*stream) Close() error { return nil }

// slots is a fake slot pool. It grants engines at once, or never if full is
// set, and records the kinds of the reported events.
type slots struct {
	mu     sync.Mutex
	full   bool
	events []sardineknot.JobEventKind
}

func (s *slots) Acquire(ctx context.Context, _ sardineknot.Job) (sardineknot.Grant, error) {
	if s.full {
		<-ctx.Done()
		return sardineknot.Grant{}, ctx.Err()
	}
	return sardineknot.Grant{PrefillEngine: "p", DecodeEngine: "d"}, nil
}

func (*slots) PrefillDone(context.Context, sardineknot.Job) (sardineknot.BackendServerName, error) {
	return "d", nil
}

func (s *slots) Report(_ sardineknot.Job, e sardineknot.JobEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e.Kind)
}

// directory is a fake answer directory. Register returns previous as the
// replaced record. If producedElsewhere is set, Register returns the record as
// one of another host, which then produces the answer.
type directory struct {
	producedElsewhere bool
	previous          *sardineknot.AnswerRecord
}

func (d *directory) Register(_ context.Context, r sardineknot.AnswerRecord) (sardineknot.AnswerRecord, *sardineknot.AnswerRecord, error) {
	if d.producedElsewhere {
		r.Host = "other"
	}
	return r, d.previous, nil
}

func (*directory) Unregister(context.Context, sardineknot.AnswerRecord) {}

// source is a fake configuration source. Its configuration has the engines d and
// p and never changes.
type source struct{}

func (source) Current() *sardineknot.Configuration {
	return &sardineknot.Configuration{BackendServers: []sardineknot.BackendServer{{Name: "d"}, {Name: "p"}}}
}
func (source) Changed() <-chan struct{} { return nil }

// fixture is a runner with its fakes. Each request is limited to ten tokens,
// and its first token is due after firstToken.
type fixture struct {
	engines   *engines
	slots     *slots
	directory *directory
	runner    *generation.Runner
	buffer    *buffer.Buffer
}

const firstToken = 10 * time.Second

// run runs f in a synctest bubble.
func run(t *testing.T, name string, f func(*testing.T, *fixture)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			x := &fixture{engines: &engines{}, slots: &slots{}, directory: &directory{}}
			x.engines.prefill = func(context.Context, sardineknot.EngineRequest) error { return nil }
			x.engines.decode = func(_ context.Context, r sardineknot.EngineRequest) (sardineknot.TokenStream, error) {
				return &stream{len(r.PreviousTokens), r.MaxTokens, io.EOF}, nil
			}
			x.engines.resume = func(context.Context, sardineknot.EngineRequest, int) (sardineknot.TokenStream, error) {
				return nil, &sardineknot.RefusedError{Server: "d"}
			}
			x.runner = &generation.Runner{
				Self: func() sardineknot.EntryHost { return self }, Engine: x.engines, Slots: x.slots, Directory: x.directory,
				Configuration: source{}, Cancellations: &cancel.Queue{Self: self.ID, Engine: x.engines, Log: zerolog.Nop()},
				Retries: budget.NewBudget(0.1, 10), PauseDetector: pause.NewDetector(clock.System{}, time.Hour), Clock: clock.System{},
				Random: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop(),
			}
			x.buffer = buffer.NewBuffer(sardineknot.RequestKey{}, time.Hour, func() {}, nil)
			f(t, x)
			synctest.Wait()
		})
	})
}

// produce runs a request whose caller already has offset tokens. It returns the
// time taken and the error with which the answer ended.
func (x *fixture) produce(ctx context.Context, offset int) (took time.Duration, end error) {
	n := time.Now()
	x.runner.Run(ctx, sardineknot.Request{
		Key: sardineknot.RequestKey{Account: "a", ID: "1"}, Prompt: "p", MaxTokens: 10,
		Work: sardineknot.Work{FirstToken: firstToken}, Deadline: n.Add(firstToken),
	}, x.buffer, offset)
	synctest.Wait()
	return time.Since(n), x.buffer.Err()
}
