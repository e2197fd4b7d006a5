package reach

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
)

const (
	// connectTimeout bounds the time to connect to a server, however Direct does that.
	connectTimeout = 400 * time.Millisecond
	// slowConnectTime is the time after which a connection that has not opened makes the
	// dialer look whether the host reaches any server.
	slowConnectTime = 100 * time.Millisecond
	// reachedTime is the time after a connection to a server in which the host counts as
	// not cut.
	reachedTime = 500 * time.Millisecond
	// endInterval is the interval at which a host that is cut dials a server itself.
	endInterval = 250 * time.Millisecond
)

// Dialer is a sardineknot.ServerDialer. Create it with NewDialer. All exported fields but
// Direct must be set before use.
type Dialer struct {
	// Self is this host, and Members lists the hosts through which it may connect.
	Self    sardineknot.EntryHostID
	Members sardineknot.Membership
	// Tunnels opens connections through other hosts.
	Tunnels sardineknot.TunnelOpener
	// Source provides the backend servers.
	Source sardineknot.ConfigurationSource
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Random selects servers and hosts. It must not be shared.
	Random *rand.Rand
	// Direct connects to a server without another host. Nil means TCP.
	Direct func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Changed is called when the host is cut and when that has ended. Connections that
	// are idle then are not used any more.
	Changed func()
	// Log receives an event when the host is cut and when that has ended.
	Log zerolog.Logger
	// Metrics receives the number of cuts and of tunnels.
	Metrics metrics.Registry

	mu sync.Mutex
	// cut is set while the host reaches no server, since the time cutAt.
	cut   bool
	cutAt time.Time
	// reachedAt is the time of the last connection to a server.
	reachedAt time.Time
	// probe is the probe in progress, or nil.
	probe *probe
	// later is set while a probe is due after a connection that has failed.
	later bool
	// asideUntil holds the times until which hosts get no requests for tunnels, because
	// they have refused one.
	asideUntil map[sardineknot.EntryHostID]time.Time
	// began holds an element for each cut whose end Run has not looked for yet. There is
	// one at most.
	began chan struct{}
}

var _ sardineknot.ServerDialer = (*Dialer)(nil)

// NewDialer returns a dialer of a host that is not cut.
func NewDialer() *Dialer { return &Dialer{began: make(chan struct{}, 1)} }

// Dial implements sardineknot.ServerDialer.
func (d *Dialer) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if d.isCut() {
		return d.dialThrough(ctx, address)
	}
	a := d.start(ctx, address)
	if a.connectsSoon() || ctx.Err() != nil || d.reaches(ctx, address) {
		c, err := a.wait()
		if err != nil {
			d.probeLater()
		}
		return c, err
	}
	c, err := d.dialThrough(ctx, address)
	if err != nil {
		return a.wait()
	}
	a.abandon()
	d.beginCut(c)
	return c, nil
}

// DialDirect connects to the server at address without another host, for tunnels of
// other hosts. It fails with a CutError if this host reaches no server.
func (d *Dialer) DialDirect(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if d.isCut() {
		return nil, errors.WithStack(&sardineknot.CutError{Host: d.Self})
	}
	a := d.start(ctx, address)
	if a.connectsSoon() || ctx.Err() != nil || d.reaches(ctx, address) {
		return a.wait()
	}
	a.abandon()
	go d.ReportSilence()
	return nil, errors.WithStack(&sardineknot.CutError{Host: d.Self})
}

// Usable implements sardineknot.ServerDialer. A connection through another host is not
// used for another request once this host is not cut any more, or the other host is
// leaving or dead.
func (d *Dialer) Usable(connection net.Conn) bool {
	t, ok := connection.(sardineknot.TunnelConn)
	if !ok {
		return true
	}
	if !d.isCut() {
		return false
	}
	for _, h := range d.Members.Hosts() {
		if h.ID == t.Host() {
			return h.State == sardineknot.EntryHostAlive
		}
	}
	return false
}

// ReportSilence implements sardineknot.ServerDialer. Connections that are silent since
// a cut began neither fail nor open, so that no other call notices it.
func (d *Dialer) ReportSilence() {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	if d.isCut() || d.reaches(ctx, netip.AddrPort{}) {
		return
	}
	for _, a := range d.pickServers(netip.AddrPort{}) {
		c, err := d.dialThrough(ctx, a)
		if err == nil {
			d.beginCut(c)
			c.Close()
			return
		}
	}
}

// Run looks for the end of each cut until ctx is done. It always returns nil.
func (d *Dialer) Run(ctx context.Context) error {
	for {
		select {
		case <-d.began:
			d.awaitEnd(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// awaitEnd dials servers until one connects, which ends the cut, or ctx is done.
func (d *Dialer) awaitEnd(ctx context.Context) {
	t := time.NewTicker(endInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if d.dialAny(ctx, netip.AddrPort{}) {
				d.endCut()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (d *Dialer) isCut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut
}

// beginCut records that the host is cut, which connection shows.
func (d *Dialer) beginCut(connection net.Conn) {
	n := d.Clock.Now()
	d.mu.Lock()
	k := d.cut
	if !k {
		d.cut, d.cutAt = true, n
	}
	d.mu.Unlock()
	if k {
		return
	}
	metrics.GetOrRegisterCounter("servers.cuts", d.Metrics).Inc(1)
	h := ""
	if t, ok := connection.(sardineknot.TunnelConn); ok {
		h = string(t.Host())
	}
	d.Log.Warn().Stringer("event", sardineknot.LogServersCut).Str("peer", h).Send()
	d.began <- struct{}{}
	d.Changed()
}

// endCut records that the host reaches servers again.
func (d *Dialer) endCut() {
	d.mu.Lock()
	l := d.Clock.Now().Sub(d.cutAt)
	d.cut = false
	d.mu.Unlock()
	d.Log.Info().Stringer("event", sardineknot.LogServersReached).Dur("after_ms", l).Send()
	d.Changed()
}

// recordReached records that the host has connected to a server.
func (d *Dialer) recordReached() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reachedAt = d.Clock.Now()
}
