package twirp_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
	"sardineknot.example/sardineknot/internal/slots/shard"
	"sardineknot.example/sardineknot/internal/slots/twirp"
)

// latestSource is a source whose configuration the test replaces.
type latestSource struct{ *sardineknot.Configuration }

func (s *latestSource) Current() *sardineknot.Configuration { return s.Configuration }
func (*latestSource) Changed() <-chan struct{}              { return nil }

// drawEngines draws engines of two pools, ordered by name.
func drawEngines(t *rapid.T) []sardineknot.BackendServer {
	var l []sardineknot.BackendServer
	for i := range 16 {
		if rapid.IntRange(0, 4).Draw(t, "there") == 0 {
			continue
		}
		l = append(l, sardineknot.BackendServer{
			Name: sardineknot.BackendServerName(fmt.Sprintf("engine-%02d", i)), Zone: sardineknot.AvailabilityZone(fmt.Sprint(i % 2)), Slots: 1,
			Role:  rapid.SampledFrom([]sardineknot.BackendRole{sardineknot.RolePrefill, sardineknot.RoleDecode}).Draw(t, "role"),
			Model: rapid.SampledFrom([]string{"m", "m", "m", "n"}).Draw(t, "model"), State: sardineknot.BackendJoining,
		})
	}
	return l
}

// TestSharedPools guards against shards that keep the servers of an earlier
// configuration because only the pools that have changed are split again.
func TestSharedPools(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		e := sardineknot.EntryHost{ID: "h", Incarnation: 1}
		m := members{&hostList{list: []sardineknot.EntryHost{e}, changed: make(chan struct{})}, e}
		s := &latestSource{&sardineknot.Configuration{}}
		p := &twirp.Pool{
			Members: m, Ranker: rendezvous.NewRanker(m), Clock: clock.System{}, Source: s, Random: rand.New(rand.NewPCG(1, 1)), MaxShardServers: 4,
			CreateScheduler: func(sardineknot.PoolName) sardineknot.Scheduler { return &recordingScheduler{} },
		}
		for range 5 {
			c := &sardineknot.Configuration{}
			c.SetServers(drawEngines(t), s.Configuration)
			s.Configuration = c
			_, err := p.Acquire(context.Background(), sardineknot.Job{}) // applies the configuration
			is.True(err != nil)
			got, want := make(map[string][]sardineknot.BackendServer), make(map[string][]sardineknot.BackendServer)
			for _, d := range p.OwnedShards() {
				got[d.Name] = d.Servers
			}
			for _, l := range shard.Split(&sardineknot.Configuration{BackendServers: c.BackendServers}, 4) {
				for _, d := range l {
					want[d.Name] = d.Servers
				}
			}
			is.Equal(got, want)
		}
	})
}
