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

// job returns a job that the asker holds.
func (c *cluster) job(id string) sardineknot.Job {
	return sardineknot.Job{
		Key: sardineknot.RequestKey{Account: "a", ID: sardineknot.RequestID(id)}, Pool: pool,
		Owner: c.asker.ID, OwnerIncarnation: c.asker.Incarnation,
	}
}

// checkGranted checks that the asker gets a grant for a job.
func checkGranted(t *testing.T, c *cluster, id string) {
	t.Helper()
	g, err := c.pools[c.asker.ID].Acquire(t.Context(), c.job(id))
	is.New(t).NoErr(err)
	is.New(t).Equal(g, sardineknot.Grant{Prefill: "p", Decode: "d"})
}

// checkCounts checks what the scheduler of host e was told.
func checkCounts(t *testing.T, c *cluster, e sardineknot.EntryHost, submitted, adopted, ended int) {
	t.Helper()
	n, m, k := c.schedulers[e.ID].counts()
	is.New(t).Equal([]int{n, m, k}, []int{submitted, adopted, ended})
}

func TestPool(t *testing.T) {
	run(t, "the owner decides", func(t *testing.T, c *cluster) {
		checkGranted(t, c, "1")
		checkCounts(t, c, c.owner, 1, 0, 0)
		checkCounts(t, c, c.asker, 0, 0, 0)
	})
	run(t, "events ride on the next message", func(t *testing.T, c *cluster) {
		checkGranted(t, c, "1")
		c.pools[c.asker.ID].Report(c.job("1"), sardineknot.JobEvent{Key: c.job("1").Key, Kind: sardineknot.JobFinished})
		checkGranted(t, c, "2")
		checkCounts(t, c, c.owner, 2, 0, 1)
		time.Sleep(settle)
		is.New(t).Equal(c.network.calls, 2)
	})
	run(t, "events are sent after a short time", func(t *testing.T, c *cluster) {
		checkGranted(t, c, "1")
		c.pools[c.asker.ID].Report(c.job("1"), sardineknot.JobEvent{Key: c.job("1").Key, Kind: sardineknot.JobFinished})
		time.Sleep(settle)
		checkCounts(t, c, c.owner, 1, 0, 1)
	})
}

func TestPoolOwnerDies(t *testing.T) {
	run(t, "a new owner learns of running jobs before it grants", func(t *testing.T, c *cluster) {
		checkGranted(t, c, "1")
		c.kill(5 * time.Second)
		n := time.Now()
		checkGranted(t, c, "2")
		is.New(t).True(time.Since(n) >= settle)
		checkCounts(t, c, c.next, 1, 1, 0)
		is.New(t).Equal(c.schedulers[c.next.ID].adopted[0].Grant, sardineknot.Grant{Prefill: "p", Decode: "d"})
	})
	run(t, "a new owner learns of a job that was taken over", func(t *testing.T, c *cluster) {
		r := sardineknot.RunningJob{Job: c.job("1"), Grant: sardineknot.Grant{Decode: "d"}, Tokens: 7, TakenOver: true}
		c.pools[c.asker.ID].Adopt(r)
		time.Sleep(settle)
		checkCounts(t, c, c.owner, 0, 1, 0)
		c.kill(0)
		time.Sleep(settle)
		checkCounts(t, c, c.next, 0, 1, 0)
		is.New(t).True(c.schedulers[c.next.ID].adopted[0].TakenOver)
	})
	run(t, "a waiting job moves to the new owner", func(t *testing.T, c *cluster) {
		c.schedulers[c.owner.ID].hold = true
		go func() {
			time.Sleep(time.Second)
			c.kill(5 * time.Second)
		}()
		checkGranted(t, c, "1")
		checkCounts(t, c, c.next, 1, 0, 0)
	})
}

func TestPoolGivesUp(t *testing.T) {
	run(t, "a job that is given up is cancelled at the owner", func(t *testing.T, c *cluster) {
		c.schedulers[c.owner.ID].hold = true
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.pools[c.asker.ID].Acquire(ctx, c.job("1"))
		is.New(t).True(errors.Is(err, context.DeadlineExceeded))
		time.Sleep(settle)
		checkCounts(t, c, c.owner, 1, 0, 1)
	})
	run(t, "an unknown pool is refused at once", func(t *testing.T, c *cluster) {
		j := c.job("1")
		j.Pool = "model/other@1"
		_, err := c.pools[c.asker.ID].Acquire(t.Context(), j)
		var n *sardineknot.NotRunError
		is.New(t).True(errors.As(err, &n))
		synctest.Wait()
	})
}
