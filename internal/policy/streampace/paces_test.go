package streampace_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/streampace"
)

const (
	prefill = 200 * time.Millisecond
	first   = 300 * time.Millisecond
	quick   = 50 * time.Millisecond
	slow    = 200 * time.Millisecond
	events  = 10
)

// now is the time at which paces are recorded.
var now = time.Unix(1_000, 0)

// newPaces returns the paces of a pool with a quick engine and a slow one.
func newPaces() *streampace.Paces {
	p := &streampace.Paces{}
	p.RecordPrefill(now, "p", prefill)
	p.RecordPrefill(now, "p", prefill/2)
	p.RecordFirst(now, "p", first/2)
	p.RecordFirst(now, "p", first)
	p.RecordPace(now, "p", "quick", quick)
	p.RecordPace(now, "p", "slow", slow)
	p.RecordPace(now, "p", "slow", quick)
	return p
}

// bounds checks that a stream of ten events on engine takes ten times perEvent at most.
func bounds(t *testing.T, p *streampace.Paces, engine sardineknot.BackendServerName, perEvent time.Duration) {
	t.Helper()
	is := is.New(t)
	f, d, ok := p.Bound(now, "p", engine, events)
	is.True(ok)
	is.Equal(f, prefill)
	is.Equal(d, first+events*perEvent)
}

// TestBound guards against a stream whose time is taken for shorter than its engine needs.
func TestBound(t *testing.T) {
	t.Run("the slowest time of an engine counts", func(t *testing.T) { bounds(t, newPaces(), "slow", slow) })
	t.Run("other engines do not", func(t *testing.T) { bounds(t, newPaces(), "quick", quick) })
	t.Run("an engine without streams is as slow as any", func(t *testing.T) { bounds(t, newPaces(), "new", slow) })
	t.Run("before a grant, the fastest engine counts", func(t *testing.T) { bounds(t, newPaces(), "", quick) })
	t.Run("an engine that is forgotten is as slow as any", func(t *testing.T) {
		p := newPaces()
		n := now.Add(59 * time.Second)
		p.RecordFirst(n, "p", first)
		p.RecordPace(n, "p", "slow", slow)
		n = n.Add(time.Second)
		_, d, ok := p.Bound(n, "p", "quick", 1)
		is := is.New(t)
		is.True(ok)
		is.Equal(d, first+slow)
	})
}

// TestStreamInProgress guards against an engine that has become slow or silent and that counts as
// quick, because no stream has ended on it since.
func TestStreamInProgress(t *testing.T) {
	silent := func(time.Time) time.Duration { return slow }
	t.Run("an event that is awaited counts", func(t *testing.T) {
		p := newPaces()
		p.Follow(now, "p", "quick", silent)
		bounds(t, p, "quick", slow)
		bounds(t, p, "slow", slow)
	})
	t.Run("at an engine without others too", func(t *testing.T) {
		p := newPaces()
		p.Follow(now, "p", "new", func(time.Time) time.Duration { return 2 * slow })
		bounds(t, p, "new", 2*slow)
	})
	t.Run("not after its end", func(t *testing.T) {
		p := newPaces()
		stop := p.Follow(now, "p", "quick", silent)
		stop()
		bounds(t, p, "quick", quick)
	})
}

// TestUnknownPace guards against a bound that nothing recent supports.
func TestUnknownPace(t *testing.T) {
	unknown := func(t *testing.T, p *streampace.Paces, at time.Time, pool sardineknot.PoolName) {
		t.Helper()
		_, _, ok := p.Bound(at, pool, "quick", 1)
		is.New(t).True(!ok)
	}
	t.Run("nil", func(t *testing.T) { unknown(t, nil, now, "p") })
	t.Run("zero value", func(t *testing.T) { unknown(t, &streampace.Paces{}, now, "p") })
	t.Run("another pool", func(t *testing.T) { unknown(t, newPaces(), now, "q") })
	t.Run("a minute later", func(t *testing.T) { unknown(t, newPaces(), now.Add(time.Minute), "p") })
	t.Run("only the first events were seen", func(t *testing.T) {
		p := &streampace.Paces{}
		p.RecordFirst(now, "p", first)
		unknown(t, p, now, "p")
	})
}
