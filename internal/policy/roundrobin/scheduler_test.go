package roundrobin_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/roundrobin"
)

// servers returns backend servers with the given roles, named by their
// position.
func servers(roles ...sardineknot.BackendRole) []sardineknot.BackendServer {
	var l []sardineknot.BackendServer
	for i, r := range roles {
		l = append(l, sardineknot.BackendServer{Name: sardineknot.BackendServerName("abcdef"[i : i+1]), Role: r, Slots: 1 + i})
	}
	return l
}

// TestTurns guards against a choice that depends on the load or the slots of
// engines: the baseline must take them in turn.
func TestTurns(t *testing.T) {
	is := is.New(t)
	n := time.Unix(1000, 0)
	var s roundrobin.Scheduler
	s.SetServers(n, servers(sardineknot.RolePrefill, sardineknot.RolePrefill, sardineknot.RoleDecode, sardineknot.RoleDecode, sardineknot.RoleDecode, sardineknot.RolePlain), nil)
	p, d := "", ""
	for range 6 {
		s.ObserveLoad(n, sardineknot.LoadReport{Server: "a", Running: 9})
		s.ObserveLoad(n, sardineknot.LoadReport{Server: "d", Running: 3, Waiting: 2})
		l := s.Submit(n, sardineknot.Job{})
		is.Equal(len(l), 2)
		is.Equal(l[0].Action, sardineknot.ActionPrefill)
		is.Equal(l[1].Action, sardineknot.ActionDecode)
		p += string(l[0].Server)
		d += string(l[1].Server)
	}
	is.Equal(p, "bababa")
	is.Equal(d, "decdec")
}

// TestNoEngine guards against a job that is accepted although no engine can run
// a part of it.
func TestNoEngine(t *testing.T) {
	is := is.New(t)
	var s roundrobin.Scheduler
	s.SetServers(time.Unix(1000, 0), servers(sardineknot.RolePrefill), nil)
	l := s.Submit(time.Unix(1000, 0), sardineknot.Job{Pool: "m"})
	is.Equal(l, []sardineknot.Decision{{Action: sardineknot.ActionRefuse, Reason: "no engine serves m", RetryAfter: time.Second}})
}
