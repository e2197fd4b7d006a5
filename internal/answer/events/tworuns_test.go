package events_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// sharedEngines is a fake sardineknot.Forwarder of engines that several hosts use. Each
// prefill has a handle of its own. The engines break off each stream after two events,
// and fall silent after the next two. It records what crosses from one call to another.
type sharedEngines struct {
	mu       sync.Mutex
	prefills int
	// callOf holds the call that each handle was computed for, until it is used.
	callOf map[string]sardineknot.RequestID
	// sends counts the requests of each call. faults lists the handles that a call used
	// although they were another's, or used.
	sends  map[sardineknot.RequestID]int
	faults []string
}

func (e *sharedEngines) Prefill(_ context.Context, _ sardineknot.BackendServer, c *sardineknot.Call, _ time.Time) (sardineknot.KVCacheReference, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefills++
	h := fmt.Sprint("handle-", e.prefills)
	e.callOf[h] = c.ID
	return sardineknot.KVCacheReference{Address: netip.MustParseAddrPort("127.0.0.1:1"), Handle: h}, nil
}

func (e *sharedEngines) ReleaseCache(_ context.Context, k sardineknot.KVCacheReference) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.callOf, k.Handle)
	return nil
}

func (*sharedEngines) Load(context.Context, sardineknot.BackendServer) (sardineknot.LoadReport, error) {
	return sardineknot.LoadReport{}, nil
}

func (e *sharedEngines) Forward(ctx context.Context, s sardineknot.BackendServer, c *sardineknot.Call, o sardineknot.ForwardOptions) (*sardineknot.Response, error) {
	e.mu.Lock()
	if o.Cache.Handle != "" && e.callOf[o.Cache.Handle] != c.ID {
		e.faults = append(e.faults, fmt.Sprintf("%s of %q at %s", o.Cache.Handle, e.callOf[o.Cache.Handle], c.ID))
	}
	delete(e.callOf, o.Cache.Handle)
	n := e.sends[c.ID]
	e.sends[c.ID]++
	e.mu.Unlock()
	a := answer{status: 200, body: callEvents(c.ID, o.ResumeAfter+1, o.ResumeAfter+2)}
	switch n {
	case 0:
		a.err = errReset
	case 1:
		a.silent = true
	}
	l := &engines{answers: []answer{a}}
	return l.Forward(ctx, s, c, o)
}

// callEvents returns the events from first to last of the run of a call.
func callEvents(call sardineknot.RequestID, first, last int) (text string) {
	for n := first; n <= last; n++ {
		text += fmt.Sprintf("id: %d\ndata: %s\n\n", n, call)
	}
	return text
}

// TestTwoRuns guards against a stream that a caller takes up at two other hosts while the
// first one still relays it, and into whose answers anything of another gets: an event or
// a KV cache.
func TestTwoRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &sharedEngines{callOf: make(map[string]sardineknot.RequestID), sends: make(map[sardineknot.RequestID]int)}
		var g sync.WaitGroup
		var w [3]writer
		for i := range w {
			r := newRunner(nil, &grantsOnce{&slots{decode: engineNames()}})
			r.Forwarder, r.Versions = e, versions{"c": ""}
			c := newCall(true)
			c.Route.Attempts = 3
			if i > 0 {
				c.ID = sardineknot.RequestID(fmt.Sprint("c", i))
				c.Generation.ResumeAfter, c.Generation.Origin = i, "c"
			}
			g.Go(func() { is.NoErr(r.Run(t.Context(), c, &w[i])) })
		}
		g.Wait()
		is.Equal(w[0].got(), callEvents("c", 1, 6))
		is.Equal(w[1].got(), callEvents("c1", 2, 7))
		is.Equal(w[2].got(), callEvents("c2", 3, 8))
		is.Equal(e.faults, nil)
		is.Equal(e.prefills, 9)
	})
}

// TestWrongEngineIsLeft guards against an engine that leaves events out and still works on
// the stream while the next one does.
func TestWrongEngineIsLeft(t *testing.T) {
	is := is.New(t)
	a := hangs(four)
	got, e, err := resumed{answers: []answer{breaks(one + two), a, ends(three)}}.run(t)
	is.NoErr(err)
	is.Equal(got, one+two+three)
	is.Equal(len(e.sentAt), 3)
	is.True(!e.leftAt[1].IsZero() && !e.leftAt[1].After(e.sentAt[2]))
}
