package shard_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/slots/shard"
)

// maxServers is the size up to which pools and zones are not split.
const maxServers = 16

const pool = sardineknot.PoolName("model/m@1")

// servers returns the given numbers of prefill and decode engines in zone.
func servers(zone string, prefill, decode int) []sardineknot.BackendServer {
	var l []sardineknot.BackendServer
	for i := range prefill + decode {
		r := sardineknot.RolePrefill
		if i >= prefill {
			r = sardineknot.RoleDecode
		}
		l = append(l, sardineknot.BackendServer{
			Name: sardineknot.BackendServerName(fmt.Sprintf("%s-%03d", zone, i)), Zone: sardineknot.AvailabilityZone(zone),
			Role: r, Model: "m", Version: "1", Slots: 20, State: sardineknot.BackendJoining,
		})
	}
	return l
}

func split(groups ...[]sardineknot.BackendServer) []shard.Shard {
	var c sardineknot.Configuration
	for _, s := range groups {
		c.BackendServers = append(c.BackendServers, s...)
	}
	return shard.Split(&c, maxServers)[pool]
}

// shardByServer returns the name of the shard of each server.
func shardByServer(shards []shard.Shard) map[sardineknot.BackendServerName]string {
	m := make(map[sardineknot.BackendServerName]string)
	for _, s := range shards {
		for _, b := range s.Servers {
			m[b.Name] = s.Name
		}
	}
	return m
}

// checkShards checks that shards contain the given number of servers, each
// server in exactly one shard, and that every shard has both roles and at most
// limit servers.
func checkShards(t *testing.T, shards []shard.Shard, servers, limit int) {
	t.Helper()
	s := is.New(t)
	s.Equal(len(shardByServer(shards)), servers)
	for _, h := range shards {
		var p, d int
		for _, b := range h.Servers {
			if b.Role == sardineknot.RolePrefill {
				p++
			} else {
				d++
			}
		}
		s.True(p > 0 && d > 0 && p+d <= limit)
		servers -= p + d
	}
	s.Equal(servers, 0)
}

func TestSplit(t *testing.T) {
	t.Run("a small pool is one shard across all zones", func(t *testing.T) {
		l := split(servers("a", 2, 4), servers("b", 2, 4))
		is.New(t).Equal(len(l), 1)
		checkShards(t, l, 12, 16)
	})
	t.Run("a large pool is split by zone", func(t *testing.T) {
		l := split(servers("a", 4, 10), servers("b", 4, 10))
		is.New(t).Equal(len(l), 2)
		is.New(t).Equal(l[1].Zone, sardineknot.AvailabilityZone("b"))
		checkShards(t, l, 28, 16)
	})
	t.Run("a large zone is split further", func(t *testing.T) {
		l := split(servers("a", 100, 160), servers("b", 8, 20))
		checkShards(t, l, 288, 17)
	})
	t.Run("zones that lack a role are combined", func(t *testing.T) {
		l := split(servers("a", 20, 0), servers("b", 0, 40), servers("c", 10, 10))
		checkShards(t, l, 80, 16)
	})
	t.Run("five pools of the design size make 240 shards", func(t *testing.T) {
		var l [][]sardineknot.BackendServer
		for _, z := range []string{"a", "b", "c", "d", "e", "f"} {
			l = append(l, servers(z, 29, 74))
		}
		is.New(t).Equal(len(split(l...)), 240/5)
	})
	t.Run("a server that joins moves few others", func(t *testing.T) {
		a := shardByServer(split(servers("a", 60, 120)))
		b := shardByServer(split(servers("a", 60, 121)))
		m := 0
		for n, h := range a {
			if b[n] != h {
				m++
			}
		}
		is.New(t).True(m <= 20)
	})
}
