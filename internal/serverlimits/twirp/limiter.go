package twirp

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/micros"
	rpc "sardineknot.example/sardineknot/internal/rpc/serverlimits"
	"sardineknot.example/sardineknot/internal/serverlimits/table"
)

const (
	// shardPrefix is the prefix of the name by which the owner of a server's limit
	// is found.
	shardPrefix = "serverlimit/"
	// takeTimeout bounds the request for a permit, and reportTimeout a report.
	takeTimeout   = 100 * time.Millisecond
	reportTimeout = 250 * time.Millisecond
	// ownerRetryInterval is the time after a failed request for a permit in which
	// this host issues its share itself.
	ownerRetryInterval = time.Second
	// maxReports bounds the concurrent reports of one change.
	maxReports = 32
)

// Limiter is a sardineknot.ServerLimiter. All exported fields must be set before
// use.
type Limiter struct {
	// Members lists the entry hosts, and Ranker selects the owner of a limit.
	Members sardineknot.Membership
	Ranker  sardineknot.Ranker
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Client sends requests to other entry hosts.
	Client *http.Client
	// Log receives an event for each limit that begins, changes or ends.
	Log zerolog.Logger
	// Metrics receives the number of requests that were not admitted.
	Metrics metrics.Registry

	table *table.Table

	mu sync.Mutex
	// failedAt holds the time of the last failed request for a permit, by owner.
	failedAt map[sardineknot.EntryHostID]time.Time
}

var _ sardineknot.ServerLimiter = (*Limiter)(nil)

// NewLimiter returns a limiter without limits.
func NewLimiter() *Limiter {
	return &Limiter{table: table.New(), failedAt: make(map[sardineknot.EntryHostID]time.Time)}
}

// Limited implements sardineknot.ServerLimiter.
func (l *Limiter) Limited(server sardineknot.BackendServer) bool {
	return l.table.Known(l.Clock.Now(), server.Process()).PerSecond > 0
}

// Admit implements sardineknot.ServerLimiter.
func (l *Limiter) Admit(ctx context.Context, server sardineknot.BackendServer) time.Duration {
	p, n := server.Process(), l.Clock.Now()
	k := l.table.Known(n, p)
	if k.PerSecond == 0 {
		return 0
	}
	d := l.table.Blocked(n, p)
	if d == 0 {
		d = l.take(ctx, p, k)
		d = l.table.Block(l.Clock.Now(), p, d)
	}
	if d > 0 {
		metrics.GetOrRegisterCounter("serverlimits.denied", l.Metrics).Inc(1)
	}
	return d
}

// take takes a permit from the owner of the limit of process. It returns zero if
// there is one, and otherwise the time until the next.
func (l *Limiter) take(ctx context.Context, process sardineknot.ServerProcess, known sardineknot.ServerLimit) time.Duration {
	h, ok := l.owner(process)
	if ok && h.ID == l.Members.Self().ID {
		return l.table.TakeOwned(l.Clock.Now(), process)
	}
	if !ok || l.failed(h.ID) {
		return l.table.TakeShare(l.Clock.Now(), process, len(l.Members.Hosts()))
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	r, err := l.client(h).Take(ctx, &rpc.TakeRequest{Limit: limitMessage(process, known, l.Clock.Now())})
	n := l.Clock.Now()
	if err != nil {
		l.recordFailure(h, n, err)
		return l.table.TakeShare(n, process, len(l.Members.Hosts()))
	}
	l.learn(r.GetLimit())
	return micros.Duration(r.GetWaitMicros())
}

// failed reports whether the last request for a permit to owner has just failed.
func (l *Limiter) failed(owner sardineknot.EntryHostID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Clock.Now().Sub(l.failedAt[owner]) < ownerRetryInterval
}

// recordFailure records that a request for a permit to owner failed with err.
func (l *Limiter) recordFailure(owner sardineknot.EntryHost, now time.Time, err error) {
	l.mu.Lock()
	for i, t := range l.failedAt {
		if now.Sub(t) >= ownerRetryInterval {
			delete(l.failedAt, i)
		}
	}
	l.failedAt[owner.ID] = now
	l.mu.Unlock()
	l.Log.Debug().Stringer("event", sardineknot.LogLimitNotShared).Str("peer", string(owner.ID)).Err(err).Send()
}

// Observe records an answer of server to a request that was sent at the time
// sent. The answer names the limit perSecond, or none if perSecond is zero.
func (l *Limiter) Observe(server sardineknot.BackendServer, perSecond float64, sent time.Time) {
	p := server.Process()
	o := l.table.Known(l.Clock.Now(), p)
	k, c := l.table.Observe(l.Clock.Now(), p, perSecond, sent)
	if !c {
		return
	}
	l.record(p, k, true)
	if (o.PerSecond > 0) != (k.PerSecond > 0) {
		go l.report(p, k)
	}
}

// record logs a limit that has begun, changed or ended. seen is true if this host
// has seen it in an answer, and false if another host has reported it.
func (l *Limiter) record(process sardineknot.ServerProcess, known sardineknot.ServerLimit, seen bool) {
	l.Log.Info().Stringer("event", sardineknot.LogServerLimit).Str("server", string(process.Name)).Float64("per_second", known.PerSecond).Bool("seen", seen).Send()
}

// report reports the limit of process to its owner, or to all other hosts if this
// host is the owner.
func (l *Limiter) report(process sardineknot.ServerProcess, known sardineknot.ServerLimit) {
	h, ok := l.owner(process)
	switch {
	case !ok:
	case h.ID != l.Members.Self().ID:
		l.send([]sardineknot.EntryHost{h}, process, known)
	default:
		l.send(sardineknot.OtherHosts(l.Members), process, known)
	}
}

// send reports a limit to hosts. A host that does not get the report learns of the
// limit from the next answer of the server or with its next permit.
func (l *Limiter) send(hosts []sardineknot.EntryHost, process sardineknot.ServerProcess, known sardineknot.ServerLimit) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	m := limitMessage(process, known, l.Clock.Now())
	var g errgroup.Group
	g.SetLimit(maxReports)
	for _, h := range hosts {
		g.Go(func() error {
			_, err := l.client(h).Report(ctx, m)
			if err != nil {
				l.Log.Debug().Stringer("event", sardineknot.LogLimitNotShared).Str("peer", string(h.ID)).Err(err).Send()
			}
			return nil
		})
	}
	_ = g.Wait() // the calls return no error
}

// learn records a limit that another host has reported. The owner passes it on if the
// limit has begun or ended.
func (l *Limiter) learn(message *rpc.Limit) sardineknot.ServerLimit {
	n := l.Clock.Now()
	p, t := limitFromMessage(message, n)
	o := l.table.Known(n, p)
	k, c := l.table.Merge(n, p, t)
	if !c {
		return k
	}
	l.record(p, k, false)
	h, ok := l.owner(p)
	if ok && h.ID == l.Members.Self().ID && (o.PerSecond > 0) != (k.PerSecond > 0) {
		go l.send(sardineknot.OtherHosts(l.Members), p, k)
	}
	return k
}

// owner returns the host that issues the permits for process.
func (l *Limiter) owner(process sardineknot.ServerProcess) (host sardineknot.EntryHost, ok bool) {
	return l.Ranker.Owner(shardPrefix + string(process.Name))
}

func (l *Limiter) client(host sardineknot.EntryHost) rpc.ServerLimits {
	return rpc.NewServerLimitsProtobufClient("http://"+host.PeerAddress.String(), l.Client)
}
