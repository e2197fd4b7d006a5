package events_test

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/events"
)

// withVersions sets the software versions of the engines of r.
func withVersions(r *events.Runner, versions map[sardineknot.BackendServerName]sardineknot.SoftwareVersion) *events.Runner {
	s, _ := r.Source.(*source)
	for i := range s.BackendServers {
		s.BackendServers[i].SoftwareVersion = versions[s.BackendServers[i].Name]
	}
	return r
}

// TestStreamKeepsVersion guards against an answer that joins events from engines
// of two software versions.
func TestStreamKeepsVersion(t *testing.T) {
	v := map[sardineknot.BackendServerName]sardineknot.SoftwareVersion{"d": "v1", "e": "v2", "f": "v1"}
	run := func(t *testing.T, l ...answer) (*engines, *writer, error) {
		e, w := &engines{answers: l}, &writer{}
		var err error
		synctest.Test(t, func(t *testing.T) {
			s := &slots{decode: []sardineknot.BackendServerName{"d", "e", "f"}}
			c := newCall(true)
			c.Route.Attempts = 3
			err = withVersions(newRunner(e, &grantsOnce{s}), v).Run(t.Context(), c, w)
		})
		return e, w, err
	}
	t.Run("an engine breaks off", func(t *testing.T) {
		is := is.New(t)
		e, w, err := run(t, answer{status: 200, body: one, err: errReset}, answer{status: 200, body: two})
		is.True(err != nil)
		is.Equal(w.got(), one)
		is.Equal(e.servers, []sardineknot.BackendServerName{"d"})
	})
	t.Run("an engine is silent", func(t *testing.T) {
		is := is.New(t)
		e, w, err := run(t, answer{status: 200, body: one, continuation: two, pause: shortSilence}, answer{status: 200, body: two})
		is.NoErr(err)
		is.Equal(w.got(), one+two)
		for _, n := range e.servers {
			is.True(n != "e")
		}
	})
	t.Run("nothing was relayed yet", func(t *testing.T) {
		is := is.New(t)
		e, w, err := run(t, answer{err: errReset}, answer{status: 200, body: one + two})
		is.NoErr(err)
		is.Equal(w.got(), one+two)
		is.Equal(e.servers, []sardineknot.BackendServerName{"d", "e"})
	})
}
