package rolebalance_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/rolebalance"
)

// zones is the number of zones over which test engines are spread.
const zones = 3

func engines(prefill, decode int) []sardineknot.BackendServer {
	var l []sardineknot.BackendServer
	for i := range prefill + decode {
		s := sardineknot.BackendServer{
			Name: sardineknot.BackendServerName(fmt.Sprintf("e%02d", i)), Role: sardineknot.RoleDecode, State: sardineknot.BackendJoining,
			Zone: sardineknot.AvailabilityZone(fmt.Sprint(i % zones)),
		}
		if i < prefill {
			s.Role = sardineknot.RolePrefill
		}
		l = append(l, s)
	}
	return l
}

func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name            string
		prefill, decode int
		// want is the role of all changes, and wantCount their number.
		want      sardineknot.BackendRole
		wantCount int
	}{
		{"a prefill share of a third is reduced", 4, 7, sardineknot.RoleDecode, 1},
		{"a prefill share of a quarter is kept", 3, 9, "", 0},
		{"a small shard is not changed", 3, 3, "", 0},
		{"a shard with one prefill engine gets another", 1, 9, sardineknot.RolePrefill, 1},
		{"a shard that lost one prefill engine waits for its return", 2, 9, "", 0},
		{"a large shard changes several engines at once", 24, 42, sardineknot.RoleDecode, 10},
		{"at most a sixth of a shard changes at once", 60, 6, sardineknot.RoleDecode, 11},
		{"a large shard that lost a quarter of its prefill engines waits", 10, 46, "", 0},
		{"a large shard that lost most of its prefill engines gets others", 3, 57, sardineknot.RolePrefill, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := rolebalance.Plan(engines(c.prefill, c.decode), sardineknot.EngineDemand{})
			is.Equal(len(l), c.wantCount)
			for _, n := range l {
				is.Equal(n.Role, c.want)
			}
		})
	}
	t.Run("engines that are leaving are ignored", func(t *testing.T) {
		l := engines(4, 7)
		l[0].State = sardineknot.BackendLeaving
		is.New(t).Equal(len(rolebalance.Plan(l, sardineknot.EngineDemand{})), 0)
	})
	t.Run("the changes are spread over the zones", func(t *testing.T) {
		is := is.New(t)
		c := make(map[sardineknot.AvailabilityZone]int)
		s := make(map[sardineknot.BackendServerName]bool)
		for _, n := range rolebalance.Plan(engines(24, 42), sardineknot.EngineDemand{}) {
			c[n.Server.Zone]++
			s[n.Server.Name] = true
		}
		is.Equal(len(s), 10)
		is.Equal(len(c), zones)
		for _, n := range c {
			is.True(n <= 4)
		}
	})
}
