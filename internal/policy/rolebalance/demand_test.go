package rolebalance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/rolebalance"
)

// observed returns a demand that was observed for that long.
func observed(seconds int, prefill, decode float64, l ...sardineknot.BackendServer) sardineknot.EngineDemand {
	d := sardineknot.EngineDemand{Observed: time.Duration(seconds) * time.Second, Prefill: prefill, Decode: decode}
	d.Speeds = make(map[sardineknot.BackendServerName]float64)
	for i, s := range l {
		d.Speeds[s.Name] = 1
		if i%3 == 2 {
			d.Speeds[s.Name] = 2.4
		}
	}
	return d
}

// settle applies plans until none is left, and returns the engines by role and the
// number of changes.
func settle(l []sardineknot.BackendServer, d sardineknot.EngineDemand) (prefill map[sardineknot.BackendServerName]bool, changes int) {
	for n := rolebalance.Plan(l, d); len(n) > 0 && changes < 100; n = rolebalance.Plan(l, d) {
		for _, c := range n {
			changes++
			for i := range l {
				if l[i].Name == c.Server.Name {
					l[i].Role = c.Role
				}
			}
		}
	}
	prefill = make(map[sardineknot.BackendServerName]bool)
	for _, s := range l {
		if s.Role == sardineknot.RolePrefill {
			prefill[s.Name] = true
		}
	}
	return prefill, changes
}

// TestDemand covers deployments whose demand differs from the usual one, and guards
// those that the fixed share served well against changes.
func TestDemand(t *testing.T) {
	for _, c := range []struct {
		name             string
		prefills, all    int
		demand           sardineknot.EngineDemand
		minimum, maximum int
	}{
		// The demands are those that the model's patterns of these names show.
		{"akstursbok keeps its number", 3, 11, observed(30, 3.75, 16.04), 3, 3},
		{"kessler keeps its number", 3, 12, observed(30, 4.06, 14.88), 3, 3},
		{"kessler's initial third is reduced as before", 4, 12, observed(30, 4.06, 14.88), 3, 3},
		{"annex is reduced as before", 17, 66, observed(30, 24.1, 115.9), 14, 14},
		{"long prompts get more engines", 6, 24, observed(30, 8, 12), 8, 12},
		{"short prompts get fewer", 6, 24, observed(30, 1, 19), 3, 3},
		{"less than a wave is not acted on", 6, 24, observed(15, 8, 12), 6, 6},
		{"the demand of one role alone is not acted on", 6, 24, observed(30, 8, 0), 6, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, _ := settle(engines(c.prefills, c.all-c.prefills), c.demand)
			is.New(t).True(len(p) >= c.minimum && len(p) <= c.maximum)
		})
	}
	t.Run("a wave and a demand that varies by a fifth change nothing", func(t *testing.T) {
		is := is.New(t)
		l := engines(8, 16)
		settle(l, observed(30, 6, 14))
		for i := range 40 {
			v := 1 + float64(i%9-4)/20
			_, n := settle(l, observed(30+i, 6*v*float64(1+i%3), 14*float64(1+i%3)))
			is.Equal(n, 0)
		}
	})
}

// TestSpeeds covers engines of speeds 0.7, 0.7 and 1.7.
func TestSpeeds(t *testing.T) {
	t.Run("slow engines leave the prefills first", func(t *testing.T) {
		is := is.New(t)
		l := engines(8, 16)
		p, n := settle(l, observed(30, 0, 0, l...))
		is.True(p["e02"] && p["e05"]) // the fast ones
		is.True(len(p) < 8 && n > 0)
	})
	t.Run("fast engines join them first", func(t *testing.T) {
		is := is.New(t)
		l := engines(2, 22)
		d := observed(30, 0, 0, l...)
		n, f := rolebalance.Plan(l, d), d.Speeds
		is.True(len(n) > 0)
		for _, c := range n {
			is.True(f[c.Server.Name] > 1)
		}
	})
	t.Run("slow prefill engines count for less", func(t *testing.T) {
		// Six engines of the slow kind read too little for 24 engines.
		is := is.New(t)
		l := engines(8, 16)
		for i := range l {
			l[i].Role = sardineknot.RoleDecode
			if i%3 != 2 && i < 12 {
				l[i].Role = sardineknot.RolePrefill
			}
		}
		p, _ := settle(l, observed(30, 0, 0, l...))
		is.Equal(len(p), 8)
	})
}
