package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot/internal/host/clock"
	feed "sardineknot.example/sardineknot/internal/platform/twirp"
	rpc "sardineknot.example/sardineknot/internal/rpc/changes"
)

// countingTransport passes requests to a handler and counts the bytes of the answers.
type countingTransport struct {
	handler http.Handler
	bytes   int
}

// RoundTrip implements http.RoundTripper.
func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	c.handler.ServeHTTP(w, r)
	c.bytes += w.Body.Len()
	return w.Result(), nil
}

// BenchmarkSnapshot measures what a follower sends to a host that starts, and the
// processor time of both, for a reader that accepts packed entries and one that does
// not.
func BenchmarkSnapshot(b *testing.B) {
	f := newBenchProcess()
	f.start(benchEntries())
	s := &feed.Feed{
		Entries: f.entries, Reachability: func() (bool, time.Time) { return true, time.Time{} }, Clock: clock.System{}, Log: zerolog.Nop(),
		StoreCalls: metrics.NewCounter(), PeerCalls: metrics.NewCounter(),
		StoreFailures: metrics.NewCounter(), PeerFailures: metrics.NewCounter(),
		PeerBytes: metrics.NewCounter(), DiscardedBytes: metrics.NewCounter(), ServedBytes: metrics.NewCounter(),
	}
	_, h := s.Handler()
	for _, n := range []struct {
		name   string
		packed bool
	}{{"plain", false}, {"packed", true}} {
		b.Run(n.name, func(b *testing.B) {
			t := &countingTransport{handler: h}
			c := rpc.NewChangesProtobufClient("http://host", &http.Client{Transport: t})
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				r, err := c.Snapshot(b.Context(), &rpc.SnapshotRequest{AcceptsPacked: n.packed})
				if err != nil || len(r.GetEntries())+len(r.GetPacked()) == 0 {
					b.Fatal("no entries", err)
				}
				i++
			}
			b.ReportMetric(float64(t.bytes)/float64(i), "bytes/answer")
		})
	}
}
