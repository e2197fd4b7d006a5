package twirp_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// job returns a job that the requester holds.
func (c *testCluster) job(id string) sardineknot.Job {
	return sardineknot.Job{
		Key: sardineknot.RequestKey{Account: "a", ID: sardineknot.RequestID(id)}, Pool: pool,
		Owner: c.requester.ID, OwnerIncarnation: c.requester.Incarnation,
	}
}

// checkGranted checks that the requester acquires a grant for a job.
func checkGranted(t *testing.T, cluster *testCluster, id string) {
	t.Helper()
	g, err := cluster.pools[cluster.requester.ID].Acquire(t.Context(), cluster.job(id))
	is.New(t).NoErr(err)
	is.New(t).Equal(g, sardineknot.Grant{PrefillEngine: "p", DecodeEngine: "d"})
}

// checkCounts checks the numbers of jobs that the scheduler of host recorded.
func checkCounts(t *testing.T, cluster *testCluster, host sardineknot.EntryHost, submitted, adopted, ended int) {
	t.Helper()
	n, m, k := cluster.schedulers[host.ID].counts()
	is.New(t).Equal([]int{n, m, k}, []int{submitted, adopted, ended})
}

func TestPool(t *testing.T) {
	run(t, "the owner grants the engines", func(t *testing.T, cluster *testCluster) {
		checkGranted(t, cluster, "1")
		checkCounts(t, cluster, cluster.owner, 1, 0, 0)
		checkCounts(t, cluster, cluster.requester, 0, 0, 0)
	})
	run(t, "the owner learns which engines the host may not use", func(t *testing.T, cluster *testCluster) {
		is := is.New(t)
		j := cluster.job("1")
		j.Backoffs = []sardineknot.ServerBackoff{{Server: "d", Until: time.Now().Add(3 * time.Second)}}
		_, err := cluster.pools[cluster.requester.ID].Acquire(t.Context(), j)
		is.NoErr(err)
		l := cluster.schedulers[cluster.owner.ID].backoffs
		is.Equal(len(l), 1)
		is.Equal(l[0].Server, sardineknot.BackendServerName("d"))
		is.Equal(time.Until(l[0].Until), 3*time.Second)
	})
	run(t, "events are piggybacked on the next request", func(t *testing.T, cluster *testCluster) {
		checkGranted(t, cluster, "1")
		cluster.pools[cluster.requester.ID].Report(cluster.job("1"), sardineknot.JobEvent{Key: cluster.job("1").Key, Kind: sardineknot.JobFinished})
		checkGranted(t, cluster, "2")
		checkCounts(t, cluster, cluster.owner, 2, 0, 1)
		time.Sleep(settle)
		is.New(t).Equal(cluster.network.calls, 2)
	})
	run(t, "events are sent after a short delay", func(t *testing.T, cluster *testCluster) {
		checkGranted(t, cluster, "1")
		cluster.pools[cluster.requester.ID].Report(cluster.job("1"), sardineknot.JobEvent{Key: cluster.job("1").Key, Kind: sardineknot.JobFinished})
		time.Sleep(settle)
		checkCounts(t, cluster, cluster.owner, 1, 0, 1)
	})
}

func TestPoolDeadOwner(t *testing.T) {
	run(t, "running jobs are announced to a new owner before it grants", func(t *testing.T, cluster *testCluster) {
		checkGranted(t, cluster, "1")
		cluster.kill(5 * time.Second)
		n := time.Now()
		checkGranted(t, cluster, "2")
		is.New(t).True(time.Since(n) >= settle)
		checkCounts(t, cluster, cluster.successor, 1, 1, 0)
		is.New(t).Equal(cluster.schedulers[cluster.successor.ID].adopted[0].Grant, sardineknot.Grant{PrefillEngine: "p", DecodeEngine: "d"})
	})
	run(t, "a job that was taken over is announced to a new owner", func(t *testing.T, cluster *testCluster) {
		r := sardineknot.RunningJob{Job: cluster.job("1"), Grant: sardineknot.Grant{DecodeEngine: "d"}, Tokens: 7, TakenOver: true}
		cluster.pools[cluster.requester.ID].Adopt(r)
		time.Sleep(settle)
		checkCounts(t, cluster, cluster.owner, 0, 1, 0)
		cluster.kill(0)
		time.Sleep(settle)
		checkCounts(t, cluster, cluster.successor, 0, 1, 0)
		is.New(t).True(cluster.schedulers[cluster.successor.ID].adopted[0].TakenOver)
	})
	run(t, "a waiting job is requested again from the new owner", func(t *testing.T, cluster *testCluster) {
		cluster.schedulers[cluster.owner.ID].hold = true
		go func() {
			time.Sleep(time.Second)
			cluster.kill(5 * time.Second)
		}()
		checkGranted(t, cluster, "1")
		checkCounts(t, cluster, cluster.successor, 1, 0, 0)
	})
}

func TestPoolNotGranted(t *testing.T) {
	run(t, "a job whose request is cancelled ends at the owner", func(t *testing.T, cluster *testCluster) {
		cluster.schedulers[cluster.owner.ID].hold = true
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := cluster.pools[cluster.requester.ID].Acquire(ctx, cluster.job("1"))
		is.New(t).True(errors.Is(err, context.DeadlineExceeded))
		time.Sleep(settle)
		checkCounts(t, cluster, cluster.owner, 1, 0, 1)
	})
	run(t, "an unknown pool is refused at once", func(t *testing.T, cluster *testCluster) {
		j := cluster.job("1")
		j.Pool = "model/other@1"
		_, err := cluster.pools[cluster.requester.ID].Acquire(t.Context(), j)
		var n *sardineknot.NotRunError
		is.New(t).True(errors.As(err, &n))
		synctest.Wait()
	})
}
