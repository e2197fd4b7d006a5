package events_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/events"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// source is a fixed configuration.
type source struct{ sardineknot.Configuration }

func (s *source) Current() *sardineknot.Configuration { return &s.Configuration }
func (s *source) Changed() <-chan struct{}            { return nil }

// slots grants the prefill engine p and the decode engines in turn.
type slots struct {
	mu     sync.Mutex
	decode []sardineknot.BackendServerName
	err    error
	jobs   []sardineknot.Job
	// granted is called when an engine is granted.
	granted map[sardineknot.BackendServerName]func()
	events  []sardineknot.JobEventKind
}

func (s *slots) Acquire(_ context.Context, j sardineknot.Job) (sardineknot.Grant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil || len(s.decode) == 0 {
		return sardineknot.Grant{}, s.err
	}
	d := s.decode[0]
	s.decode = s.decode[1:]
	s.jobs = append(s.jobs, j)
	if f := s.granted[d]; f != nil {
		f()
	}
	return sardineknot.Grant{Prefill: "p", Decode: d}, nil
}

func (s *slots) PrefillDone(context.Context, sardineknot.Job) (sardineknot.BackendServerName, error) {
	return "", nil
}

func (s *slots) Report(_ sardineknot.Job, e sardineknot.JobEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e.Kind)
}

// ended returns the number of jobs that were reported as cancelled.
func (s *slots) ended() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.events {
		if k == sardineknot.JobCancelled {
			n++
		}
	}
	return n
}

// last returns the kind of the last event.
func (s *slots) last() sardineknot.JobEventKind { return s.events[len(s.events)-1] }

// answer is what an engine answers to one send.
type answer struct {
	status int
	body   string
	// err ends the body, or the exchange if there is no body.
	err error
	// silent keeps the body open after its text.
	silent bool
	// then follows the text after a pause.
	then  string
	pause time.Duration
}

// engines is a sardineknot.Forwarder that plays answers in turn.
type engines struct {
	mu         sync.Mutex
	answers    []answer
	sends      []sardineknot.Send
	servers    []sardineknot.BackendServerName
	prefills   int
	prefillErr error
	released   int
}

func (e *engines) Prefill(context.Context, sardineknot.BackendServer, *sardineknot.Call, time.Time) (sardineknot.CacheReference, error) {
	e.prefills++
	if e.prefillErr != nil {
		return sardineknot.CacheReference{}, e.prefillErr
	}
	return sardineknot.CacheReference{Address: netip.MustParseAddrPort("127.0.0.1:1"), Handle: "k"}, nil
}

func (e *engines) Release(context.Context, sardineknot.CacheReference) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.released++
	return nil
}

func (e *engines) Load(context.Context, sardineknot.BackendServer) (sardineknot.LoadReport, error) {
	return sardineknot.LoadReport{}, nil
}

func (e *engines) Forward(ctx context.Context, s sardineknot.BackendServer, _ *sardineknot.Call, o sardineknot.Send) (*sardineknot.Reply, error) {
	a := e.answers[0]
	e.answers = e.answers[1:]
	e.sends = append(e.sends, o)
	e.servers = append(e.servers, s.Name)
	if a.body == "" && !a.silent {
		return nil, a.err
	}
	return &sardineknot.Reply{Status: a.status, Header: http.Header{"Engine": {string(s.Name)}}, Body: &body{Reader: strings.NewReader(a.body), answer: a, ctx: ctx}}, nil
}

type body struct {
	*strings.Reader
	answer
	ctx context.Context
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && b.then != "" {
		time.Sleep(b.pause)
		b.Reader, b.then = strings.NewReader(b.then), ""
		return b.Reader.Read(p)
	}
	if err == nil || b.err == nil && !b.silent {
		return n, err
	}
	if b.silent {
		<-b.ctx.Done()
		return 0, context.Cause(b.ctx)
	}
	return n, b.err
}

func (b *body) Close() error { return nil }

// writer collects an answer.
type writer struct {
	status int
	header http.Header
	text   strings.Builder
}

func (w *writer) Start(status int, h http.Header) { w.status, w.header = status, h }
func (w *writer) Write(b []byte) error            { _, err := w.text.Write(b); return err }
func (w *writer) got() string                     { return w.text.String() }

type allowed struct{}

func (allowed) First(sardineknot.ServiceName)      {}
func (allowed) Retry(sardineknot.ServiceName) bool { return true }

func newRunner(e *engines, s sardineknot.SlotPool) *events.Runner {
	c := sardineknot.Configuration{Revision: 1, Services: []sardineknot.Service{{Name: "llm", Engine: &sardineknot.EngineLimits{EventTokens: 10}}}}
	for _, n := range []sardineknot.BackendServerName{"p", "d", "e"} {
		c.BackendServers = append(c.BackendServers, sardineknot.BackendServer{Name: n, State: sardineknot.BackendJoining})
	}
	return &events.Runner{Source: &source{c}, Forwarder: e, Slots: s, Budget: allowed{}, Clock: clock.System{}, Log: zerolog.Nop()}
}

func newCall(resumable bool) *sardineknot.Call {
	n := time.Now()
	r := &sardineknot.Route{Kind: sardineknot.RouteStream, Resumable: resumable, Attempts: 1, Target: time.Second}
	if resumable {
		r.Attempts = 2
	}
	return &sardineknot.Call{
		ID: "c", Arrived: n, Patience: n.Add(10 * time.Second), Deadline: n.Add(10 * time.Second), Route: r, Service: "llm",
		Prompt: &sardineknot.Prompt{Model: "m", Tokens: 1000, MaxTokens: 500},
	}
}

const (
	one   = "id: 1\ndata: a\n\n"
	two   = "id: 2\ndata: b\n\n"
	three = "id: 3\ndata: c\n\n"
)

var errReset = errors.New("reset")

func TestStream(t *testing.T) {
	t.Run("passes the events on and reports the end", func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{status: 200, body: one + two}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d"}}
		w := &writer{}
		is.NoErr(newRunner(e, s).Run(t.Context(), newCall(false), w))
		is.Equal(w.got(), one+two)
		is.Equal(e.sends[0].Cache.Handle, "k")
		is.Equal(s.last(), sardineknot.JobFinished)
	})
	t.Run("goes on elsewhere after the last whole event", func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{status: 200, body: one + two + "id: 3\nda", err: errReset}, {status: 200, body: two + three}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}}
		w := &writer{}
		is.NoErr(newRunner(e, s).Run(t.Context(), newCall(true), w))
		is.Equal(w.got(), one+two+three) // and no event twice
		is.Equal(e.sends[1].After, 2)
		is.Equal(w.header.Get("Engine"), "d") // the head stays that of the first engine
		is.Equal(s.jobs[1].PromptTokens, 1020)
	})
	t.Run("a cut within an event is not the end of the answer", func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{status: 200, body: one + "id: 2\nda"}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d"}}
		w := &writer{}
		err := newRunner(e, s).Run(t.Context(), newCall(false), w)
		is.True(err != nil)
		is.Equal(w.got(), one)
	})
	t.Run("a call that may not be resumed runs once", func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{err: errReset}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}}
		err := newRunner(e, s).Run(t.Context(), newCall(false), &writer{})
		var n *sardineknot.NotRunError
		is.True(err != nil && !errors.As(err, &n)) // nobody is told that it did not run
		is.Equal(len(e.sends), 1)
	})
	t.Run("a silent engine is left", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			e := &engines{answers: []answer{{status: 200, body: one, silent: true}, {status: 200, body: two}}}
			s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}}
			w := &writer{}
			is.NoErr(newRunner(e, s).Run(t.Context(), newCall(true), w))
			is.Equal(w.got(), one+two)
		})
	})
}

func TestSilence(t *testing.T) {
	late := func(t *testing.T, e *engines, l sardineknot.SlotPool) (*writer, error) {
		w := &writer{}
		return w, newRunner(e, l).Run(t.Context(), newCall(true), w)
	}
	t.Run("a silent engine is kept while no other has room", func(t *testing.T) {
		// Streams were cut that their engine would have finished a second later.
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			e := &engines{answers: []answer{{status: 200, body: one, then: two, pause: time.Second}}}
			w, err := late(t, e, &refusesLater{slots: &slots{decode: []sardineknot.BackendServerName{"d"}}})
			is.NoErr(err)
			is.Equal(w.got(), one+two)
		})
	})
	t.Run("an engine that was granted ahead is given back", func(t *testing.T) {
		// The caller leaves while its stream waits for the other engine.
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			e := &engines{answers: []answer{{status: 200, body: one, silent: true}}}
			s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}, granted: map[sardineknot.BackendServerName]func(){"e": cancel}}
			is.True(newRunner(e, s).Run(ctx, newCall(true), &writer{}) != nil)
			synctest.Wait()
			is.Equal(s.last(), sardineknot.JobCancelled)
			is.Equal(s.ended(), 2)
		})
	})
	t.Run("an engine that goes on in time is kept", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			e := &engines{answers: []answer{{status: 200, body: one, then: two, pause: 500 * time.Millisecond}}}
			s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}}
			w, err := late(t, e, s)
			is.NoErr(err)
			is.Equal(w.got(), one+two)
			is.Equal(len(e.sends), 1)
		})
	})
}

func TestPrefill(t *testing.T) {
	refusal := errors.WithStack(&sardineknot.RefusedError{Server: "d", Status: 503})
	t.Run("a lost cache is read by the decode engine", func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{err: refusal}, {status: 200, body: one}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d"}}
		is.NoErr(newRunner(e, s).Run(t.Context(), newCall(false), &writer{}))
		is.Equal(e.sends[1].Cache.Handle, "")
		is.Equal(s.events[1], sardineknot.JobCacheLost)
	})
	t.Run("a long prompt is not read by the decode engine", func(t *testing.T) {
		// Its answers would pause for longer than their target.
		is := is.New(t)
		e := &engines{answers: []answer{{err: refusal}, {status: 200, body: one}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}}
		c := newCall(true)
		c.Prompt.Tokens = sardineknot.MaxSelfRead + 1
		is.NoErr(newRunner(e, s).Run(t.Context(), c, &writer{}))
		is.Equal(e.sends[1].Cache.Handle, "k")
		is.Equal(e.prefills, 2)
	})
	t.Run("a refusal of the engines is a refusal of the call", func(t *testing.T) {
		is := is.New(t)
		s := &slots{err: errors.WithStack(&sardineknot.NotRunError{Reason: "full", RetryAfter: time.Second})}
		err := newRunner(&engines{}, s).Run(t.Context(), newCall(true), &writer{})
		var n *sardineknot.NotRunError
		is.True(errors.As(err, &n))
	})
	t.Run("a refusal after a run is not told as not run", func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{err: errReset}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d"}, err: nil}
		r := newRunner(e, &refusesLater{slots: s})
		err := r.Run(t.Context(), newCall(true), &writer{})
		var n *sardineknot.NotRunError
		is.True(err != nil && !errors.As(err, &n))
	})
}

func TestUnread(t *testing.T) {
	refusal := errors.WithStack(&sardineknot.RefusedError{Server: "d", Status: 503})
	t.Run("a cache that the decode engine did not read is read by the next", func(t *testing.T) {
		// Connections to decode engines were reset and refused, and prompts were
		// read twice.
		for _, err := range []error{errReset, &sardineknot.UnsentError{Cause: errReset}} {
			is := is.New(t)
			e := &engines{answers: []answer{{err: errors.WithStack(err)}, {status: 200, body: one}}}
			s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}}
			is.NoErr(newRunner(e, s).Run(t.Context(), newCall(true), &writer{}))
			is.Equal(e.sends[1].Cache.Handle, "k")
			is.Equal(e.prefills, 1)
			is.Equal(e.released, 0)
			is.Equal(s.jobs[1].Kept, sardineknot.BackendServerName("p"))
		}
	})
	t.Run("a cache that was read after all is not used for long", func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{err: errReset}, {err: refusal}, {status: 200, body: one}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}}
		w := &writer{}
		is.NoErr(newRunner(e, s).Run(t.Context(), newCall(true), w))
		is.Equal(w.got(), one)
		is.Equal(e.sends[2].Cache.Handle, "") // the decode engine reads the prompt
	})
	t.Run("a cache that nobody reads is freed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			e := &engines{answers: []answer{{err: errReset}}}
			s := &slots{decode: []sardineknot.BackendServerName{"d"}}
			is.True(newRunner(e, &refusesLater{slots: s}).Run(t.Context(), newCall(true), &writer{}) != nil)
			synctest.Wait()
			is.Equal(e.released, 1)
		})
	})
}

// refusesLater grants engines once.
type refusesLater struct{ *slots }

func (r *refusesLater) Acquire(ctx context.Context, j sardineknot.Job) (sardineknot.Grant, error) {
	if len(r.decode) == 0 {
		return sardineknot.Grant{}, errors.WithStack(&sardineknot.NotRunError{Reason: "full"})
	}
	return r.slots.Acquire(ctx, j)
}

var _ io.ReadCloser = (*body)(nil)
