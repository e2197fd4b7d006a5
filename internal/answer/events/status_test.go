package events_test

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// TestStatusBeforeFirstEvent guards against callers whose connection is broken off
// without a status, although nothing of the answer was sent to them yet, and
// against streams without events that seem whole.
func TestStatusBeforeFirstEvent(t *testing.T) {
	run := func(t *testing.T, prepare func(*sardineknot.Call), l ...answer) (*writer, error) {
		w := &writer{}
		var err error
		synctest.Test(t, func(t *testing.T) {
			s := &slots{decode: []sardineknot.BackendServerName{"d", "e", "f"}}
			c := newCall(true)
			prepare(c)
			r := newRunner(&engines{answers: l}, &grantsOnce{s})
			r.Versions = versions{"o": ""}
			err = r.Run(t.Context(), c, w)
		})
		return w, err
	}
	asIs := func(*sardineknot.Call) {}
	part := answer{status: 200, body: "id: 1\nda", err: errBrokenOff}
	unframed := answer{status: 200, body: "id: 1\nda"}
	comment := answer{status: 200, body: ": x\n", err: errBrokenOff}
	t.Run("both engines break off in the first event", func(t *testing.T) {
		for _, a := range []answer{part, unframed, comment} {
			is := is.New(t)
			w, err := run(t, asIs, a, a)
			is.True(err != nil)
			is.Equal(w.status, 0) // the handler answers with an error
			var n *sardineknot.NotRunError
			is.True(!errors.As(err, &n)) // the call may have run
		}
	})
	t.Run("the second engine answers", func(t *testing.T) {
		is := is.New(t)
		w, err := run(t, asIs, part, whole)
		is.NoErr(err)
		is.Equal(w.got(), one)
	})
	t.Run("the second engine fails, and its status is relayed", func(t *testing.T) {
		is := is.New(t)
		w, err := run(t, asIs, part, answer{status: 500, body: "no"})
		is.NoErr(err)
		is.Equal(w.status, 500)
	})
	t.Run("a stream without events is not whole", func(t *testing.T) {
		is := is.New(t)
		w, err := run(t, asIs, answer{status: 200, empty: true}, answer{status: 200, empty: true})
		is.True(err != nil)
		is.Equal(w.status, 0)
	})
	t.Run("a resumed stream without further events is whole", func(t *testing.T) {
		is := is.New(t)
		w, err := run(t, func(c *sardineknot.Call) { c.Generation.ResumeAfter = 1; c.Generation.Origin = "o" }, answer{status: 200, body: one})
		is.NoErr(err)
		is.Equal(w.status, 200)
		is.Equal(w.got(), "")
	})
}
