package engines_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/backoff"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/versions/engines"
)

// pool is a fake pool of engines: their configuration source and the forwarder to them.
type pool struct {
	sardineknot.Forwarder
	configuration sardineknot.Configuration

	mu sync.Mutex
	// runs holds the calls that engines report, and errs the errors of their queries.
	runs map[sardineknot.BackendServerName][]sardineknot.RunningRequest
	errs map[sardineknot.BackendServerName]error
	// queries counts the queries, running those in progress, and most is the greatest
	// number of them.
	queries, running, most int
}

// newPool returns a pool of the service "llm" with an engine for each version. They are
// named a, b, and so on.
func newPool(versions ...sardineknot.SoftwareVersion) *pool {
	p := &pool{runs: make(map[sardineknot.BackendServerName][]sardineknot.RunningRequest), errs: make(map[sardineknot.BackendServerName]error)}
	for i, v := range versions {
		p.configuration.BackendServers = append(p.configuration.BackendServers, sardineknot.BackendServer{
			Name: sardineknot.BackendServerName(rune('a' + i)), Service: "llm", Role: sardineknot.RoleDecode, SoftwareVersion: v, State: sardineknot.BackendJoining,
		})
	}
	return p
}

func (p *pool) Current() *sardineknot.Configuration { return &p.configuration }
func (p *pool) Changed() <-chan struct{}            { return nil }

// run lets engine run the call id, of which it has sent events.
func (p *pool) run(engine sardineknot.BackendServerName, id sardineknot.RequestID, events int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[engine] = append(p.runs[engine], sardineknot.RunningRequest{ID: id, Events: events})
}

// end ends all calls of engine.
func (p *pool) end(engine sardineknot.BackendServerName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.runs, engine)
}

// Load implements sardineknot.Forwarder. A query takes 5 ms. An error
// context.DeadlineExceeded stands for an engine that does not answer.
func (p *pool) Load(ctx context.Context, server sardineknot.BackendServer) (sardineknot.LoadReport, error) {
	p.mu.Lock()
	p.queries++
	p.running++
	p.most = max(p.most, p.running)
	err := p.errs[server.Name]
	p.mu.Unlock()
	if errors.Is(err, context.DeadlineExceeded) {
		<-ctx.Done()
	}
	time.Sleep(5 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	return sardineknot.LoadReport{Server: server.Name, RunningRequests: p.runs[server.Name]}, err
}

func newFinder(p *pool) *engines.Finder {
	return &engines.Finder{Source: p, Forwarder: p, Backoffs: backoff.NewSet(rand.NewPCG(1, 1)), Clock: clock.System{}, Log: zerolog.Nop(), Metrics: metrics.NewRegistry()}
}

// inTime runs test in virtual time.
func inTime(t *testing.T, name string, test func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

// finds checks that f finds version for the stream "s". An empty version means none.
func finds(t *testing.T, f *engines.Finder, version sardineknot.SoftwareVersion) {
	t.Helper()
	v, ok := f.Version(t.Context(), "s", "llm")
	is.New(t).Equal(v, version)
	is.New(t).Equal(ok, version != "")
}

// TestVersion guards against streams that are refused although their engines still run
// them, and against a wrong version, which would join two streams.
func TestVersion(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(p *pool)
		want    sardineknot.SoftwareVersion
	}{
		"the engine of one version runs it": {func(p *pool) { p.run("b", "s", 3) }, "v2"},
		"the engine that runs it is leaving": {func(p *pool) {
			p.run("a", "s", 1)
			p.configuration.BackendServers[0].State = sardineknot.BackendLeaving
		}, "v1"},
		"two engines of one version list it":          {func(p *pool) { p.run("b", "s", 1); p.run("c", "s", 2) }, "v2"},
		"no engine runs it":                           {func(p *pool) { p.run("b", "other", 3) }, ""},
		"it has sent no event":                        {func(p *pool) { p.run("b", "s", 0) }, ""},
		"engines of two versions run it":              {func(p *pool) { p.run("a", "s", 3); p.run("b", "s", 3) }, ""},
		"an engine of another version is not read":    {func(p *pool) { p.run("b", "s", 3); p.errs["a"] = errors.New("reset") }, ""},
		"one of the other version does not answer":    {func(p *pool) { p.run("b", "s", 3); p.errs["a"] = context.DeadlineExceeded }, ""},
		"one of the same version is not read":         {func(p *pool) { p.run("b", "s", 3); p.errs["c"] = errors.New("reset") }, "v2"},
		"the engine of the other version has ended":   {func(p *pool) { p.run("b", "s", 3); p.errs["a"] = &sardineknot.UnsentError{Cause: syscall.ECONNREFUSED} }, "v2"},
		"its address belongs to another process":      {func(p *pool) { p.run("b", "s", 3); p.errs["a"] = &sardineknot.RefusedError{Status: 421} }, "v2"},
		"the engine has no version":                   {func(p *pool) { p.run("b", "s", 3); p.configuration.BackendServers[1].SoftwareVersion = "" }, ""},
		"the engine belongs to another service":       {func(p *pool) { p.run("b", "s", 3); p.configuration.BackendServers[1].Service = "other" }, ""},
		"the engine computes KV caches of prompts":    {func(p *pool) { p.run("b", "s", 3); p.configuration.BackendServers[1].Role = sardineknot.RolePrefill }, ""},
		"the other one's address cannot be reached":   {func(p *pool) { p.run("b", "s", 3); p.errs["a"] = &sardineknot.UnsentError{Cause: syscall.EHOSTUNREACH} }, ""},
		"the other one refuses while it starts (503)": {func(p *pool) { p.run("b", "s", 3); p.errs["a"] = &sardineknot.RefusedError{Status: 503} }, ""},
	} {
		inTime(t, name, func(t *testing.T) {
			p := newPool("v1", "v2", "v2")
			c.prepare(p)
			n := time.Now()
			finds(t, newFinder(p), c.want)
			is.New(t).True(time.Since(n) < 500*time.Millisecond)
			time.Sleep(time.Second)
		})
	}
}

// TestReads guards against versions that are found too late or forgotten, when a caller
// comes back once more.
func TestReads(t *testing.T) {
	inTime(t, "a caller that comes back after its engine has ended the stream", func(t *testing.T) {
		p := newPool("v1", "v2")
		f := newFinder(p)
		p.run("b", "s", 1)
		_, _ = f.Version(t.Context(), "other", "llm")
		p.end("b")
		time.Sleep(10 * time.Second)
		finds(t, f, "v2")
		time.Sleep(6 * time.Second)
		finds(t, f, "")
	})
	inTime(t, "the engines are read again for the next try", func(t *testing.T) {
		p := newPool("v1", "v2")
		f := newFinder(p)
		p.errs["a"] = errors.New("reset")
		p.run("b", "s", 1)
		finds(t, f, "")
		delete(p.errs, "a")
		time.Sleep(time.Second)
		finds(t, f, "v2")
	})
	inTime(t, "a later report of another version", func(t *testing.T) {
		p := newPool("v1", "v2")
		f := newFinder(p)
		p.run("b", "s", 1)
		finds(t, f, "v2")
		p.run("a", "s", 1)
		time.Sleep(time.Second)
		_, _ = f.Version(t.Context(), "other", "llm")
		finds(t, f, "")
	})
}

// lookUp looks count streams up at once.
func lookUp(t *testing.T, f *engines.Finder, count int) {
	var g sync.WaitGroup
	for i := range count {
		g.Go(func() { _, _ = f.Version(t.Context(), sardineknot.RequestID(fmt.Sprint(i)), "llm") })
	}
	g.Wait()
}

// TestCost guards against a number of queries that grows with the streams that come back,
// or without bound with the engines, and against queries of engines that want none.
func TestCost(t *testing.T) {
	for n, want := range map[int]int{60: 60, 256: 256, 257: 0, 3000: 0} {
		inTime(t, fmt.Sprint(n, " engines"), func(t *testing.T) {
			is := is.New(t)
			p := newPool(make([]sardineknot.SoftwareVersion, n)...)
			f, at := newFinder(p), time.Now()
			lookUp(t, f, 100)
			t.Logf("%d engines: %d queries, at most %d at once, in %v", n, p.queries, p.most, time.Since(at))
			is.Equal(p.queries, want)
			is.True(p.most <= 32)
			for range 100 { // callers come back all the time
				time.Sleep(100 * time.Millisecond)
				lookUp(t, f, 3)
			}
			is.True(p.queries <= 1100) // 100 in a second
		})
	}
	inTime(t, "an engine that wants no requests", func(t *testing.T) {
		p := newPool("v1", "v2")
		f := newFinder(p)
		f.Backoffs.Record(time.Now(), p.configuration.BackendServers[0], time.Minute)
		p.run("b", "s", 1)
		finds(t, f, "")
		is.New(t).Equal(p.queries, 1)
	})
	inTime(t, "a caller that has gone does not wait", func(t *testing.T) {
		p := newPool("v1")
		p.errs["a"] = context.DeadlineExceeded
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		n := time.Now()
		_, ok := newFinder(p).Version(ctx, "s", "llm")
		is.New(t).True(!ok)
		is.New(t).Equal(time.Since(n), 10*time.Millisecond)
		time.Sleep(time.Second)
	})
}
