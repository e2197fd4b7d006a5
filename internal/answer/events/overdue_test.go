package events_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// TestOverdueGrant guards against the use of a grant after the deadline of the call because
// the process was paused while it waited, and no timer has run yet since then. The owner
// may have given the engine's memory to another call.
func TestOverdueGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{status: 200, body: one + two}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d"}}
		s.onGrant = map[sardineknot.BackendServerName]func(){"d": func() { time.Sleep(time.Minute) }}
		is.True(newRunner(e, &grantsOnce{s}).Run(t.Context(), newCall(true), &writer{}) != nil)
		is.Equal(len(e.sends), 0)
		is.Equal(e.prefills, 0)
	})
}
