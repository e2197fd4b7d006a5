package gateway

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/backoff"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// limits is a fake sardineknot.ServerLimiter that names the limited servers.
type limits map[sardineknot.BackendServerName]bool

func (limits) Admit(context.Context, sardineknot.BackendServer) time.Duration { return 0 }
func (l limits) Limited(server sardineknot.BackendServer) bool                { return l[server.Name] }

// countingOrders is a fake sardineknot.EngineOrderClient that counts requests.
type countingOrders struct{ requests int }

func (c *countingOrders) State(context.Context, sardineknot.BackendServer) (sardineknot.EngineState, bool, error) {
	c.requests++
	return sardineknot.EngineState{}, false, nil
}

func (c *countingOrders) SendOrder(context.Context, sardineknot.BackendServer, sardineknot.EngineOrder) error {
	c.requests++
	return nil
}

// TestOrderBackoff guards against queries and orders to an engine that has asked
// for no requests, or that takes few.
func TestOrderBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &countingOrders{}
		o := &orderClient{EngineOrderClient: c, backoffs: backoff.NewSet(rand.NewPCG(1, 1)), limiter: limits{"c": true}, clock: clock.System{}}
		a, b := sardineknot.BackendServer{Name: "a"}, sardineknot.BackendServer{Name: "b"}
		o.backoffs.Record(time.Now(), a, time.Second)
		_, _, err := o.State(t.Context(), a)
		var f *sardineknot.BackedOffError
		is.True(errors.As(err, &f))
		is.Equal(f.Left, time.Second)
		is.True(errors.As(o.SendOrder(t.Context(), a, sardineknot.EngineOrder{}), &f))
		is.True(errors.As(o.SendOrder(t.Context(), sardineknot.BackendServer{Name: "c"}, sardineknot.EngineOrder{}), &f))
		is.Equal(c.requests, 0)
		is.NoErr(o.SendOrder(t.Context(), b, sardineknot.EngineOrder{}))
		time.Sleep(time.Second)
		_, _, err = o.State(t.Context(), a)
		is.NoErr(err)
		is.Equal(c.requests, 2)
	})
}

// TestOrdersOfStoppingHost guards against a host that gives orders to engines while it stops, so
// that the next owner of their shard follows within seconds.
func TestOrdersOfStoppingHost(t *testing.T) {
	p := &Process{}
	n := time.Now()
	p.stopping.Begin(n, n.Add(time.Second))
	is.New(t).Equal(len(p.ownedShards()), 0)
}
