package timed

import (
	"fmt"
	"testing"
	"time"

	"sardineknot.example/sardineknot"
)

func TestPlacement(t *testing.T) {
	t.Run("a prompt goes to the engine that received its prefix before", func(t *testing.T) {
		v := newDriver(t, 3, 1, 100)
		j := v.job("first")
		j.PromptTokens, j.PrefixHashes = 9000, []uint64{1, 2, 3, 4}
		v.submit(j)
		p := v.prefill["first"]
		v.generate("first")
		for i := range 5 {
			v.submit(v.job(fmt.Sprint(i)))
			j.Key = key(fmt.Sprintf("again%d", i))
			v.submit(j)
			v.is.Equal(v.prefill[fmt.Sprintf("again%d", i)], p)
			v.wait(100 * time.Millisecond)
			for _, k := range []string{fmt.Sprint(i), fmt.Sprintf("again%d", i)} {
				v.report(k, sardineknot.JobPrefillDone, v.prefill[k], 0)
			}
		}
	})
	t.Run("a faster link is preferred", func(t *testing.T) {
		v := newDriver(t, 1, 2, 100)
		v.setServers(
			sardineknot.Link{From: "z0", To: "z0", BytesPerSecond: 2e8},
			sardineknot.Link{From: "z0", To: "z1", BytesPerSecond: 1e9},
		)
		v.submit(v.job("1"))
		v.generate("1")
		v.is.Equal(v.decode["1"], sardineknot.BackendServerName("d1"))
	})
	t.Run("a job whose prefill result has expired is refused", func(t *testing.T) {
		v := newDriver(t, 1, 1, 1)
		v.submit(v.job("1"))
		v.s.releaseSlot(v.s.jobs[key("1")])
		v.s.pending = append(v.s.pending, v.s.jobs[key("1")])
		v.s.decode[0].server.Slots = 0
		v.report("1", sardineknot.JobPrefillDone, "p0", 0)
		v.wait(time.Second)
		v.is.True(!v.decoded("1"))
		v.is.Equal(v.refused["1"].Action, sardineknot.ActionRefuse)
		v.checkEmpty()
	})
}
