package twirp_test

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
	"sardineknot.example/sardineknot/internal/peer/h2c"
	"sardineknot.example/sardineknot/internal/slots/twirp"
)

// BenchmarkJobBytes reports the number of bytes per job that the host
// requesting the job and the host that owns the shard send each other over a
// TCP connection. It counts everything from the request for the job's grant to
// the job's last event.
//
// In the case "piggybacked", the events of a job are sent together with the
// request for the grant of the next job. In the case "separate", they are sent
// in messages of their own.
func BenchmarkJobBytes(b *testing.B) {
	b.Run("piggybacked", func(b *testing.B) { benchmarkJobBytes(b, 0) })
	b.Run("separate", func(b *testing.B) { benchmarkJobBytes(b, 300*time.Millisecond) })
}

// benchmarkJobBytes runs jobs one after the other, with pause between their
// events.
func benchmarkJobBytes(b *testing.B, pause time.Duration) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(b).NoErr(err)
	h := &hostList{changed: make(chan struct{}), list: []sardineknot.EntryHost{{
		ID: "entry-1", Incarnation: 1, PeerAddress: netip.MustParseAddrPort(l.Addr().String()),
	}}}
	r := metrics.NewRegistry()
	t := h2c.NewTransport(r)
	o := newPool(h, h.list[0], t)
	a := newPool(h, sardineknot.EntryHost{ID: "entry-2", Incarnation: 1796338112931511384}, t)
	m := http.NewServeMux()
	m.Handle(o.Handler())
	s := h2c.NewServer(m)
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	go func() { _ = o.Run(b.Context()) }()
	go func() { _ = a.Run(b.Context()) }()
	x := int64(0)
	for i := 0; b.Loop(); i++ {
		runJob(b, a, i, pause)
		if i == 0 {
			x = bytesOf(r)
		}
	}
	b.ReportMetric(float64(bytesOf(r)-x)/float64(max(b.N-1, 1)), "B/job")
}

func newPool(hosts *hostList, host sardineknot.EntryHost, transport *h2c.Transport) *twirp.Pool {
	m := members{hosts, host}
	return &twirp.Pool{
		Members: m, Ranker: rendezvous.NewRanker(m), Clock: clock.System{}, Client: transport.Client(),
		Source: source{&sardineknot.Configuration{Revision: 1, BackendServers: []sardineknot.BackendServer{
			{Name: "leitor-07", Role: sardineknot.RoleDecode, Model: "m", Version: "1", Slots: 20, State: sardineknot.BackendJoining},
		}}},
		CreateScheduler: func(sardineknot.PoolName) sardineknot.Scheduler { return &recordingScheduler{} },
		Random:          rand.New(rand.NewPCG(1, 1)),
	}
}

// runJob acquires a grant for the job with the given index and reports its
// events.
func runJob(b *testing.B, slots *twirp.Pool, index int, pause time.Duration) {
	j := sardineknot.Job{
		Key:  sardineknot.RequestKey{Account: "prefeitura-0417", ID: sardineknot.RequestID("01890a5d-ac96-774b-bcce-b302099a8057/" + strconv.Itoa(index))},
		Pool: pool, Work: "dossier-summary", Zone: "ponta-grossa", PromptTokens: 12000, PrefixHashes: []uint64{1, 2, 3, 4, 5, 6},
		MaxTokens: 800, FirstTokenDeadline: time.Now().Add(time.Second), PerToken: 34 * time.Millisecond, Owner: "entry-2", OwnerIncarnation: 1796338112931511384,
	}
	_, err := slots.Acquire(b.Context(), j)
	is.New(b).NoErr(err)
	for _, k := range []sardineknot.JobEventKind{sardineknot.JobPrefillDone, sardineknot.JobDecodeStarted, sardineknot.JobFinished} {
		if k != sardineknot.JobDecodeStarted {
			time.Sleep(pause)
		}
		slots.Report(j, sardineknot.JobEvent{Key: j.Key, Kind: k, Server: "leitor-07", Tokens: 347})
	}
	time.Sleep(pause)
}

// bytesOf returns the total number of bytes sent and received.
func bytesOf(registry metrics.Registry) int64 {
	return metrics.GetOrRegisterCounter("peer.bytes.sent", registry).Count() + metrics.GetOrRegisterCounter("peer.bytes.received", registry).Count()
}
