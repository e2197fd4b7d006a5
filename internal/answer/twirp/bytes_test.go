package twirp_test

import (
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/twirp"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
	"sardineknot.example/sardineknot/internal/peer/h2c"
)

// BenchmarkAnswerBytes reports the bytes exchanged between a producer and the
// owner of a directory shard for one answer, from its registration to its end,
// over a TCP connection.
func BenchmarkAnswerBytes(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(b).NoErr(err)
	c := &cluster{changed: make(chan struct{}), hosts: []sardineknot.EntryHost{{
		ID: "entry-1", Incarnation: 1, PeerAddress: netip.MustParseAddrPort(l.Addr().String()),
	}}}
	r := metrics.NewRegistry()
	t := h2c.NewTransport(r)
	o := newDirectory(c, c.hosts[0], t)
	a := newDirectory(c, sardineknot.EntryHost{ID: "entry-2", Incarnation: 1796338112931511384}, t)
	m := http.NewServeMux()
	m.Handle(o.Handler())
	s := h2c.NewServer(m)
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	go func() { _ = o.Run(b.Context()) }()
	go func() { _ = a.Run(b.Context()) }()
	x := int64(0)
	for i := 0; b.Loop(); i++ {
		runAnswer(b, a, i)
		if i == 0 {
			x = peerBytes(r)
		}
	}
	b.ReportMetric(float64(peerBytes(r)-x)/float64(max(b.N-1, 1)), "B/answer")
}

func newDirectory(c *cluster, e sardineknot.EntryHost, t *h2c.Transport) *twirp.Directory {
	m := members{c, e}
	return &twirp.Directory{Members: m, Ranker: rendezvous.NewRanker(m), IsDead: c.dead, Clock: clock.System{}, Client: t.Client()}
}

func runAnswer(b *testing.B, d *twirp.Directory, i int) {
	r := sardineknot.AnswerRecord{
		Key:  sardineknot.RequestKey{Account: "prefeitura-0417", ID: sardineknot.RequestID("01890a5d-ac96-774b-bcce-b302099a8057" + strconv.Itoa(i))},
		Host: "entry-2", Incarnation: 1796338112931511384, PeerAddress: netip.MustParseAddrPort("10.20.30.40:7500"),
	}
	var err error
	for err = error(errNotStarted); err != nil; {
		_, _, err = d.Register(b.Context(), r)
	}
	r.DecodeEngine = "leitor-07"
	_, _, err = d.Register(b.Context(), r)
	is.New(b).NoErr(err)
	d.Unregister(b.Context(), r)
}

// errNotStarted is the initial error of the loop that waits for the directory
// to start.
var errNotStarted = &sardineknot.UnavailableError{}

func peerBytes(r metrics.Registry) int64 {
	return metrics.GetOrRegisterCounter("peer.bytes.sent", r).Count() + metrics.GetOrRegisterCounter("peer.bytes.received", r).Count()
}
