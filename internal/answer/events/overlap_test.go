package events_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// maxOverlap is the longest time for which two engines may work on one stream.
const maxOverlap = 400 * time.Millisecond

// runUntilDeadline runs a resumable call that may run on the given number of
// engines until it ends, at the latest at its deadline. Engines d, e and f are
// granted in turn.
func runUntilDeadline(t *testing.T, e *engines, attempts int) (*writer, error) {
	t.Helper()
	c, w := newCall(true), &writer{}
	c.Route.Attempts = attempts
	ctx, cancel := context.WithDeadline(t.Context(), c.Deadline)
	defer cancel()
	s := &slots{decode: []sardineknot.BackendServerName{"d", "e", "f"}}
	err := newRunner(e, &grantsOnce{s}).Run(ctx, c, w)
	synctest.Wait()
	return w, err
}

// TestOverlap guards against two engines that work on one stream at the same
// time, while one of them takes the stream over.
func TestOverlap(t *testing.T) {
	silent := answer{status: 200, body: one, silent: true}
	for n, a := range map[string]answer{
		"event in time":       {status: 200, body: two, delay: 200 * time.Millisecond},
		"late header":         {status: 200, body: two, delay: time.Second},
		"no header":           {status: 200, body: two, delay: time.Hour},
		"header and no event": {status: 200, silent: true},
	} {
		t.Run(n, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := &engines{answers: []answer{silent, a}}
				_, _ = runUntilDeadline(t, e, 2)
				is.Equal(len(e.sentAt), 2)
				l := e.leftAt[0]
				if l.After(e.leftAt[1]) {
					l = e.leftAt[1]
				}
				is.True(l.Sub(e.sentAt[1]) <= maxOverlap)
			})
		})
	}
}

// TestSilentTakeover guards against a stream that waits for an engine which was
// to replace a silent one and is silent itself.
func TestSilentTakeover(t *testing.T) {
	hung := answer{status: 200, silent: true}
	servesWhole := func(t *testing.T, l ...answer) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w, err := runUntilDeadline(t, &engines{answers: l}, 3)
			is.NoErr(err)
			is.Equal(w.got(), one+two)
		})
	}
	t.Run("a third engine continues", func(t *testing.T) {
		servesWhole(t, answer{status: 200, body: one, silent: true}, hung, answer{status: 200, body: two})
	})
	t.Run("the first engine breaks off", func(t *testing.T) {
		servesWhole(t, answer{status: 200, body: one, continuation: "id", pause: time.Second, err: errReset}, hung, answer{status: 200, body: two})
	})
	t.Run("the first engine fails", func(t *testing.T) {
		servesWhole(t, answer{status: 500, body: "x", delay: 2 * time.Second}, hung, answer{status: 200, body: one + two})
	})
	t.Run("the first engine fails and no other may run the call", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w, err := runUntilDeadline(t, &engines{answers: []answer{{status: 500, body: "x", delay: 2 * time.Second}, hung}}, 2)
			is.NoErr(err)
			is.Equal(w.status, http.StatusInternalServerError)
		})
	})
}
