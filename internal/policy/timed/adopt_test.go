package timed

import (
	"testing"
	"time"

	"sardineknot.example/sardineknot"
)

func TestAdopt(t *testing.T) {
	adopt := func(v *driver, decode sardineknot.BackendServerName, tokens int) {
		r := sardineknot.RunningJob{Job: v.job("old"), Grant: sardineknot.Grant{PrefillEngine: "p0", DecodeEngine: decode}, Tokens: tokens}
		v.recordDecisions(v.s.Adopt(v.now, r))
	}
	for n, k := range map[string]int{"imports": 0, "decodes": 50} {
		t.Run("a job that "+n+" keeps its slot until its end", func(t *testing.T) {
			v := newDriver(t, 1, 1, 1)
			adopt(v, "d0", k)
			v.submit(v.job("new"))
			v.wait(500 * time.Millisecond)
			v.is.True(!v.prefilled("new"))
			v.report("old", sardineknot.JobFinished, "d0", 100)
			v.is.True(v.prefilled("new"))
		})
	}
	t.Run("a prefilling job gets a slot when its prefill ends", func(t *testing.T) {
		v := newDriver(t, 1, 1, 1)
		adopt(v, "", 0)
		v.report("old", sardineknot.JobPrefillDone, "p0", 0)
		v.is.Equal(v.decode["old"], sardineknot.BackendServerName("d0"))
	})
	t.Run("a job can be adopted before its engine is known", func(t *testing.T) {
		v := newDriver(t, 1, 0, 0)
		adopt(v, "d0", 1)
		v.servers = append(v.servers, server(0, "d", sardineknot.RoleDecode, 1))
		v.setServers()
		v.submit(v.job("new"))
		v.is.True(!v.prefilled("new"))
		v.report("old", sardineknot.JobCancelled, "", 0)
		v.is.True(v.prefilled("new"))
	})
	t.Run("a known job is ignored", func(t *testing.T) {
		v := newDriver(t, 1, 1, 2)
		adopt(v, "d0", 1)
		adopt(v, "d0", 2)
		v.report("old", sardineknot.JobFinished, "d0", 100)
		v.checkEmpty()
	})
}
