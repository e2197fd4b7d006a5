package twirp_test

import (
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// changingSource is a fake configuration source. Nobody is told of its changes.
type changingSource struct {
	atomic.Pointer[sardineknot.Configuration]
}

func (s *changingSource) Current() *sardineknot.Configuration { return s.Load() }
func (s *changingSource) Changed() <-chan struct{}            { return nil }

// TestLeavingReported guards against an owner that goes on granting an engine
// that it takes for ready, while another host knows that the engine is leaving
// and gives each grant of it back.
func TestLeavingReported(t *testing.T) {
	run(t, "the owner does not grant the engine to the next job", func(t *testing.T, cluster *testCluster) {
		is := is.New(t)
		var got sardineknot.JobEvent
		var from sardineknot.EntryHostID
		o, r := cluster.pools[cluster.owner.ID], cluster.pools[cluster.requester.ID]
		o.ServerLeaving = func(server sardineknot.BackendServerName, born int64, witness sardineknot.EntryHostID) {
			got.Server, got.Born, from = server, born, witness
			cluster.sources[cluster.owner.ID].Store(newConfiguration(sardineknot.BackendLeaving))
		}
		checkGranted(t, cluster, "1")
		r.Report(cluster.job("1"), sardineknot.JobEvent{
			Key: cluster.job("1").Key, Kind: sardineknot.JobCancelled, Server: "d", Leaving: true, Born: 7,
		})
		checkGranted(t, cluster, "2")
		is.Equal(got, sardineknot.JobEvent{Server: "d", Born: 7})
		is.Equal(from, cluster.requester.ID)
		is.Equal(cluster.schedulers[cluster.owner.ID].serversAtSubmit, []int{2, 1})
	})
	run(t, "other events say nothing about their engine", func(t *testing.T, cluster *testCluster) {
		n := 0
		cluster.pools[cluster.owner.ID].ServerLeaving = func(sardineknot.BackendServerName, int64, sardineknot.EntryHostID) { n++ }
		checkGranted(t, cluster, "1")
		cluster.pools[cluster.requester.ID].Report(cluster.job("1"), sardineknot.JobEvent{
			Key: cluster.job("1").Key, Kind: sardineknot.JobCancelled, Server: "d",
		})
		checkGranted(t, cluster, "2")
		is.New(t).Equal(n, 0)
	})
}
