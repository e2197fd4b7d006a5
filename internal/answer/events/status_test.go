package events_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// runOnce runs a call that resumes a stream after the given event, if that is not
// zero, with engines that answer with l in turn.
func runOnce(t *testing.T, after int, l ...answer) (*writer, error) {
	t.Helper()
	w := &writer{}
	var err error
	synctest.Test(t, func(t *testing.T) {
		s := &slots{decode: []sardineknot.BackendServerName{"d", "e", "f"}}
		c := newCall(true)
		c.Generation.ResumeAfter, c.Generation.Origin = after, "o"
		r := newRunner(&engines{answers: l}, &grantsOnce{s})
		r.Versions = versions{"o": ""}
		err = r.Run(t.Context(), c, w)
	})
	return w, err
}

// TestStatusBeforeFirstEvent guards against callers whose connection is broken off
// without a status, although nothing of the answer was sent to them yet, and
// against streams without events that seem whole.
func TestStatusBeforeFirstEvent(t *testing.T) {
	part := answer{status: 200, body: "id: 1\nda", err: errBrokenOff}
	unframed := answer{status: 200, body: "id: 1\nda"}
	comment := answer{status: 200, body: ": x\n", err: errBrokenOff}
	t.Run("both engines break off in the first event", func(t *testing.T) {
		for _, a := range []answer{part, unframed, comment} {
			is := is.New(t)
			w, err := runOnce(t, 0, a, a)
			is.True(err != nil)
			is.Equal(w.status, 0) // the handler answers with an error
			var n *sardineknot.NotRunError
			is.True(!errors.As(err, &n)) // the call may have run
		}
	})
	t.Run("the second engine answers", func(t *testing.T) {
		is := is.New(t)
		w, err := runOnce(t, 0, part, whole)
		is.NoErr(err)
		is.Equal(w.got(), one)
	})
	t.Run("the second engine fails, and its status is relayed", func(t *testing.T) {
		is := is.New(t)
		w, err := runOnce(t, 0, part, answer{status: 500, body: "no"})
		is.NoErr(err)
		is.Equal(w.status, 500)
	})
	t.Run("a stream without events is not whole", func(t *testing.T) {
		is := is.New(t)
		w, err := runOnce(t, 0, answer{status: 200, empty: true}, answer{status: 200, empty: true})
		is.True(err != nil)
		is.Equal(w.status, 0)
	})
	t.Run("a resumed stream without further events is whole", func(t *testing.T) {
		is := is.New(t)
		w, err := runOnce(t, 1, answer{status: 200, body: one})
		is.NoErr(err)
		is.Equal(w.status, 200)
		is.Equal(w.got(), "")
	})
}

// TestLongEvents guards against events that are split where the read buffer ends,
// and against long failures that are cut and seem whole.
func TestLongEvents(t *testing.T) {
	for _, n := range []int{4090, 4096, 4097, 8192, 100_000} {
		t.Run(fmt.Sprintf("a line of %d bytes", n), func(t *testing.T) {
			is := is.New(t)
			e := "id: 1\n" + "data:" + strings.Repeat("x", n-5) + "\nid:2\n\n"
			w, err := runOnce(t, 0, answer{status: 200, body: e + "id: 3\ndata: y\n\n"})
			is.NoErr(err)
			is.Equal(w.got(), e+"id: 3\ndata: y\n\n")
			w, err = runOnce(t, 2, answer{status: 200, body: e + "id: 3\ndata: y\n\n"})
			is.NoErr(err)
			is.Equal(w.got(), "id: 3\ndata: y\n\n") // the caller has the long event
		})
	}
	t.Run("a failure", func(t *testing.T) {
		is := is.New(t)
		w, err := runOnce(t, 0, answer{status: 400, body: strings.Repeat("x", 1<<20)})
		is.NoErr(err)
		is.Equal(len(w.got()), 1<<20)
		w, err = runOnce(t, 0, answer{status: 400, body: strings.Repeat("x", 2<<20)}, answer{status: 400, body: "no"})
		is.True(err != nil || len(w.got()) == 2)
	})
	t.Run("an event without end", func(t *testing.T) {
		is := is.New(t)
		w, err := runOnce(t, 0, answer{status: 200, body: strings.Repeat("data: x\n", 1<<18)}, whole)
		is.NoErr(err)
		is.Equal(w.got(), one)
	})
}
