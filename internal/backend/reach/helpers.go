package reach

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
)

const (
	// openTimeout bounds the time to connect through one host.
	openTimeout = 350 * time.Millisecond
	// maxHelpers is the number of hosts through which one connection is tried.
	maxHelpers = 3
	// maxZoneHelpers is the number of those that are in the zone of this host.
	maxZoneHelpers = 2
	// asideTime is the time for which a host that has refused a tunnel gets no requests
	// for tunnels.
	asideTime = time.Second
)

// dialThrough connects to address through another host. It fails if the server does
// not connect through the first host that reaches servers.
func (d *Dialer) dialThrough(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	err := errors.WithStack(&sardineknot.CutError{Host: d.Self})
	for _, h := range d.pickHelpers() {
		var c net.Conn
		c, err = d.open(ctx, h, address)
		if err == nil {
			metrics.GetOrRegisterCounter("servers.tunnels", d.Metrics).Inc(1)
			return c, nil
		}
		var n *sardineknot.NotReachedError
		if errors.As(err, &n) || ctx.Err() != nil {
			return nil, err
		}
		d.setAside(h)
	}
	return nil, err
}

// open connects to address through host.
func (d *Dialer) open(ctx context.Context, host sardineknot.EntryHost, address netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return d.Tunnels.Open(ctx, host, address)
}

// pickHelpers returns up to maxHelpers hosts to connect through: up to maxZoneHelpers of
// the zone of this host, and after them hosts of others, which may reach servers if the
// whole zone is cut. Their order is random, so that they share the work.
func (d *Dialer) pickHelpers() []sardineknot.EntryHost {
	z := d.Members.Self().Zone
	o := sardineknot.OtherHosts(d.Members)
	n := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Random.Shuffle(len(o), func(i, j int) { o[i], o[j] = o[j], o[i] })
	var l, m []sardineknot.EntryHost
	for _, h := range o {
		switch {
		case h.State != sardineknot.EntryHostAlive || n.Before(d.asideUntil[h.ID]):
		case h.Zone == z:
			l = append(l, h)
		default:
			m = append(m, h)
		}
	}
	l = append(l[:min(len(l), maxZoneHelpers)], m...)
	return l[:min(len(l), maxHelpers)]
}

// setAside records that host opens no tunnels now.
func (d *Dialer) setAside(host sardineknot.EntryHost) {
	n := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.asideUntil == nil {
		d.asideUntil = make(map[sardineknot.EntryHostID]time.Time)
	}
	for h, t := range d.asideUntil {
		if !n.Before(t) {
			delete(d.asideUntil, h)
		}
	}
	d.asideUntil[host.ID] = n.Add(asideTime)
}
