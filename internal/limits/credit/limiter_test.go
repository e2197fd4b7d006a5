package credit

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	pkg "github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/limits/owner"
)

const (
	rate  = 10
	burst = 5
	hosts = 4
)

var contract = sardineknot.Contract{Account: "verk", RequestsPerSecond: rate, Burst: burst}

// clock is a fake clock that the test sets.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// source is a fake ConfigurationSource that provides only contract.
type source struct{}

func (source) Current() *sardineknot.Configuration {
	return &sardineknot.Configuration{Contracts: []sardineknot.Contract{contract}}
}
func (source) Changed() <-chan struct{} { return nil }

// members is a fake membership of alive hosts.
type members struct{}

func (members) Self() sardineknot.EntryHost    { return sardineknot.EntryHost{} }
func (members) Hosts() []sardineknot.EntryHost { return make([]sardineknot.EntryHost, hosts) }
func (members) Isolated() bool                 { return false }
func (members) Changed() <-chan struct{}       { return nil }

// countingSource wraps a PermitSource. It counts the calls of Borrow, which
// fail while down is set.
type countingSource struct {
	sardineknot.PermitSource
	calls int
	down  bool
}

func (c *countingSource) Borrow(ctx context.Context, account sardineknot.ClientAccountName, want, unused int) (sardineknot.Permits, error) {
	c.calls++
	if c.down {
		return sardineknot.Permits{}, errors.New("down")
	}
	return c.PermitSource.Borrow(ctx, account, want, unused)
}

// cluster holds one limiter for each host, and the owner of the limit, which
// all limiters share.
type cluster struct {
	clock    *clock
	owner    *countingSource
	limiters []*Limiter
}

func newCluster() *cluster {
	c := &clock{now: time.Unix(1_800_000_000, 0)}
	f := &cluster{clock: c, owner: &countingSource{PermitSource: owner.NewOwner(c, source{})}}
	for range hosts {
		f.limiters = append(f.limiters, NewLimiter(c, f.owner, members{}))
	}
	return f
}

// send runs the given number of steps. In each step it sends perStep requests,
// distributed over the hosts in turn, and then advances the clock by step. It
// returns the number of admitted requests.
func (f *cluster) send(perStep, steps int, step time.Duration) int {
	var k int
	for range steps {
		for i := range perStep {
			if f.limiters[i%len(f.limiters)].Admit(context.Background(), contract) == nil {
				k++
			}
		}
		f.clock.now = f.clock.now.Add(step)
	}
	return k
}

func TestAdmit(t *testing.T) {
	const seconds = 20
	t.Run("admits the limit across all hosts", func(t *testing.T) {
		f := newCluster()
		assertBetween(t, f.send(hosts, seconds*10, 100*time.Millisecond), rate*seconds*9/10, rate*seconds+burst)
	})
	t.Run("admits the whole limit at a single host", func(t *testing.T) {
		f := newCluster()
		assertBetween(t, f.send(1, seconds*20, 50*time.Millisecond), rate*seconds*9/10, rate*seconds+burst)
	})
	t.Run("admits all requests below the limit", func(t *testing.T) {
		f := newCluster()
		is.New(t).Equal(f.send(1, rate*seconds/2, 200*time.Millisecond), rate*seconds/2)
	})
	t.Run("sets RetryAfter when the limit is reached", func(t *testing.T) {
		f := newCluster()
		f.send(burst, 1, 0)
		assertRetryAfter(t, f.limiters[0].Admit(context.Background(), contract), time.Second/rate)
	})
	t.Run("enforces the limit while the owner is down", func(t *testing.T) {
		f := newCluster()
		f.owner.down = true
		assertBetween(t, f.send(hosts, seconds*10, 100*time.Millisecond), rate*seconds*8/10, rate*seconds+burst+hosts)
	})
	t.Run("sends at most one request per second to a failed owner", func(t *testing.T) {
		f := newCluster()
		f.owner.down = true
		f.send(1, 100, 100*time.Millisecond)
		is.New(t).True(f.owner.calls <= 10)
	})
	t.Run("borrows permits in bulk", func(t *testing.T) {
		f := newCluster()
		n := f.send(1, seconds*10, 110*time.Millisecond)
		is.New(t).True(f.owner.calls <= n/2)
	})
}

func assertBetween(t *testing.T, got, low, high int) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("admitted %d, want %d to %d", got, low, high)
	}
}

func assertRetryAfter(t *testing.T, err error, want time.Duration) {
	t.Helper()
	i := is.New(t)
	var n *sardineknot.NotRunError
	i.True(pkg.As(err, &n))
	i.True(n.RetryAfter > 0)
	i.True(n.RetryAfter <= want)
}
