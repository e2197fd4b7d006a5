package rolebalance_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/rolebalance"
)

func engines(prefill, decode int) []sardineknot.BackendServer {
	var l []sardineknot.BackendServer
	for i := range prefill + decode {
		s := sardineknot.BackendServer{
			Name: sardineknot.BackendServerName(fmt.Sprintf("e%02d", i)), Role: sardineknot.RoleDecode, State: sardineknot.BackendJoining,
		}
		if i < prefill {
			s.Role = sardineknot.RolePrefill
		}
		l = append(l, s)
	}
	return l
}

func TestNext(t *testing.T) {
	for _, c := range []struct {
		name            string
		prefill, decode int
		want            sardineknot.BackendRole
	}{
		{"a prefill share of a third is reduced", 4, 7, sardineknot.RoleDecode},
		{"a prefill share of a quarter is kept", 3, 9, ""},
		{"a small shard is not changed", 3, 3, ""},
		{"a shard with one prefill engine gets another", 1, 9, sardineknot.RolePrefill},
		{"a shard that lost one prefill engine waits for its return", 2, 9, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n, ok := rolebalance.Next(engines(c.prefill, c.decode))
			is.Equal(ok, c.want != "")
			is.Equal(n.Role, c.want)
		})
	}
	t.Run("engines that are leaving are ignored", func(t *testing.T) {
		l := engines(4, 7)
		l[0].State = sardineknot.BackendLeaving
		_, ok := rolebalance.Next(l)
		is.New(t).True(!ok)
	})
}
