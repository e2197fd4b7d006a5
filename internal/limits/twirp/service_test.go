package twirp_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/limits/owner"
	"sardineknot.example/sardineknot/internal/limits/rank"
	"sardineknot.example/sardineknot/internal/limits/twirp"
	"sardineknot.example/sardineknot/internal/peer/h2c"
	api "sardineknot.example/sardineknot/internal/rpc/limits"
)

// older is a host of a version that counts requests.
type older struct{ want, returned uint32 }

func (o *older) Borrow(_ context.Context, request *api.BorrowRequest) (*api.BorrowResponse, error) {
	o.want, o.returned = request.GetWant(), request.GetReturned()
	return &api.BorrowResponse{Granted: request.GetWant()}, nil
}

// TestOlderVersion guards against hosts of two versions that do not understand each
// other: one that counts requests, and one that does not serve limits.
func TestOlderVersion(t *testing.T) {
	t.Run("asks", func(t *testing.T) {
		run(t, 8, small, func(f *fleet) {
			time.Sleep(2 * time.Second)
			c := api.NewLimitsProtobufClient("http://"+f.hosts[f.order()[0]].entry.PeerAddress.String(), &http.Client{Transport: f.hosts[0]})
			i := is.New(f.t)
			r, err := c.Borrow(f.t.Context(), &api.BorrowRequest{Account: "verk", Want: 3, Returned: 1})
			i.NoErr(err)
			i.Equal(r.GetGranted(), uint32(3))
		})
	})
	t.Run("is the owner", func(t *testing.T) {
		run(t, 8, small, func(f *fleet) {
			o, m := &older{}, http.NewServeMux()
			s := api.NewLimitsServer(o)
			m.Handle(s.PathPrefix(), s)
			l := f.order()
			f.set(func() { f.hosts[l[0]].mux = m })
			f.call(l[3], 2.5)
			i := is.New(f.t)
			i.Equal(len(f.sends), 1)
			i.Equal(o.want, uint32(3))
		})
	})
	t.Run("ranks first and serves no limits", func(t *testing.T) {
		run(t, 8, small, func(f *fleet) {
			l := f.order()
			f.set(func() { f.hosts[l[0]].mux = http.NewServeMux() })
			f.call(l[3], 100) // the bucket of the host that acts starts empty
			for range 5 {
				time.Sleep(5 * time.Second)
				f.call(l[3], 5000)
			}
			is.New(f.t).Equal(len(f.sends), 6)
		})
	})
}

// TestMalformed guards against a message that takes a limit for a long time or ends a
// process.
func TestMalformed(t *testing.T) {
	run(t, 8, small, func(f *fleet) {
		time.Sleep(2 * time.Second)
		l := f.order()
		c := api.NewLimitsProtobufClient("http://"+f.hosts[l[0]].entry.PeerAddress.String(), &http.Client{Transport: f.hosts[0]})
		n := -1.0
		for _, v := range []float64{n, 1 / (n + 1), -1 / (n + 1), 1e300, 1e30, (n + 1) / (n + 1)} {
			_, err := c.Borrow(f.t.Context(), &api.BorrowRequest{
				Account: "verk", ByCost: true, Need: v, WantCost: v, ReturnedCost: v, Deferred: v, PerSecond: v, Burst: v,
				MaxWaitMicros: 1 << 62, Hops: 1 << 31,
			})
			is.New(f.t).NoErr(err)
		}
		time.Sleep(12 * time.Second)
		f.call(l[3], 5000)
		is.New(f.t).Equal(len(f.sends), 1)
	})
}

// TestConnectionRefused guards against the end of an owner's process that is taken for
// silence, over the transport that is used in production.
func TestConnectionRefused(t *testing.T) {
	i := is.New(t)
	w, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	e := sardineknot.EntryHost{ID: "owner", PeerAddress: w.Addr().(*net.TCPAddr).AddrPort(), Processor: 1}
	f := &fleet{registered: []sardineknot.EntryHost{e, {ID: "self", Processor: 1}}}
	f.account.Limit = sardineknot.AccountLimit{PerSecond: small, Burst: small}
	m := http.NewServeMux()
	s := api.NewLimitsServer(&older{})
	m.Handle(s.PathPrefix(), s)
	v := h2c.NewServer(m)
	go v.Serve(w)
	h := &host{fleet: f, entry: f.registered[1]}
	k, r := rank.NewRanker(h), metrics.NewRegistry()
	c := &twirp.Client{Hosts: h, Ranker: k, Owner: owner.NewOwner(h, h, k, f.limit), Clock: h, HTTP: h2c.NewTransport(r).Client(), Log: zerolog.Nop(), Metrics: r}
	q := sardineknot.CostRequest{Account: "a", Need: 300, Want: 300}
	for k.Order(q.Account)[0].ID != e.ID {
		q.Account += "a"
	}
	g, err := c.Borrow(t.Context(), q)
	i.NoErr(err)
	i.Equal(g.Granted, 300.0)
	v.Close()
	g, err = c.Borrow(t.Context(), q)
	i.NoErr(err) // this host acts, and its bucket starts empty
	i.Equal(g.Granted, 0.0)
	i.True(g.RetryAfter > 0)
}
