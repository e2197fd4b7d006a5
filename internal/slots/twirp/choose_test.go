package twirp_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
	"sardineknot.example/sardineknot/internal/slots/twirp"
)

// twoZonePool is the pool of a single host. It has one shard with five decode
// slots in each of two zones.
type twoZonePool struct {
	pool *twirp.Pool
	// schedulers lists the schedulers of the two shards, in no particular
	// order.
	schedulers []*recordingScheduler
	// jobs is the number of jobs submitted so far.
	jobs int
}

func newTwoZonePool(t *testing.T) *twoZonePool {
	e := sardineknot.EntryHost{ID: "h1", Incarnation: 1}
	m := members{&hostList{list: []sardineknot.EntryHost{e}, changed: make(chan struct{})}, e}
	c := &sardineknot.Configuration{Revision: 1}
	for i := range 40 {
		b := sardineknot.BackendServer{
			Name: sardineknot.BackendServerName(fmt.Sprint(i)), Zone: sardineknot.AvailabilityZone([]string{"a", "b"}[i%2]),
			Role: sardineknot.RolePrefill, Model: "m", Version: "1", Slots: 5, State: sardineknot.BackendJoining,
		}
		if i < 2 {
			b.Role = sardineknot.RoleDecode
		}
		c.BackendServers = append(c.BackendServers, b)
	}
	z := &twoZonePool{}
	z.pool = &twirp.Pool{
		Members: m, Ranker: rendezvous.NewRanker(m), Clock: clock.System{}, Source: source{c}, Random: rand.New(rand.NewPCG(1, 1)),
		CreateScheduler: func(sardineknot.PoolName) sardineknot.Scheduler {
			z.schedulers = append(z.schedulers, &recordingScheduler{})
			return z.schedulers[len(z.schedulers)-1]
		},
	}
	go func() { _ = z.pool.Run(t.Context()) }()
	synctest.Wait()
	return z
}

// acquire acquires grants for count jobs of zone. It returns the numbers of
// jobs that were submitted to the two shards so far, the greater number first.
func (z *twoZonePool) acquire(t *testing.T, zone sardineknot.AvailabilityZone, count int) []int {
	t.Helper()
	for range count {
		z.jobs++
		j := sardineknot.Job{
			Key:  sardineknot.RequestKey{Account: "a", ID: sardineknot.RequestID(fmt.Sprint(z.jobs))},
			Pool: pool, Zone: zone, Owner: "h1", OwnerIncarnation: 1,
		}
		_, err := z.pool.Acquire(t.Context(), j)
		is.New(t).NoErr(err)
	}
	a, _, _ := z.schedulers[0].counts()
	b, _, _ := z.schedulers[1].counts()
	return []int{max(a, b), min(a, b)}
}

func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name string
		jobs int
		want []int
	}{
		{"a job goes to the shard of its zone", 5, []int{5, 0}},
		{"jobs of a full shard go to another shard", 8, []int{5, 3}},
		{"full shards share further jobs evenly", 20, []int{10, 10}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newTwoZonePool(t)
				is.New(t).Equal(z.acquire(t, "a", c.jobs), c.want)
			})
		})
	}
	t.Run("an outdated load is ignored", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			z := newTwoZonePool(t)
			z.acquire(t, "a", 5)
			time.Sleep(time.Minute)
			is.New(t).Equal(z.acquire(t, "a", 1), []int{6, 0})
		})
	})
}
