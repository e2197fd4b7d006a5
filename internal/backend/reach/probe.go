package reach

import (
	"context"
	"net/netip"
	"time"
)

const (
	// maxProbed is the number of servers that a probe dials.
	maxProbed = 3
	// probeTimeout bounds a probe. A connection across zones opens in a few milliseconds.
	probeTimeout = 150 * time.Millisecond
	// firstProbeTime is the time that the first server has before the others are dialled
	// as well.
	firstProbeTime = 40 * time.Millisecond
	// failedTime is the time for which a probe that reached no server counts.
	failedTime = 300 * time.Millisecond
)

// probe is an attempt to reach any of some servers, which several callers may await.
type probe struct {
	// done is closed when reached is set.
	done    chan struct{}
	reached bool
	endedAt time.Time
}

// reaches reports whether the host reaches any server other than the one at address,
// whose connection has failed or is slow to open. It reports true as well if ctx ends
// before that is known.
func (d *Dialer) reaches(ctx context.Context, address netip.AddrPort) bool {
	p, k := d.joinProbe()
	if p == nil {
		return true
	}
	if k {
		go func() {
			p.reached = d.dialAny(context.WithoutCancel(ctx), address)
			p.endedAt = d.Clock.Now()
			close(p.done)
		}()
	}
	select {
	case <-p.done:
		return p.reached
	case <-ctx.Done():
		return true
	}
}

// joinProbe returns the probe to await. begin is true if the caller has to make it. It
// returns nil if the host has reached a server a short time ago.
func (d *Dialer) joinProbe() (current *probe, begin bool) {
	n := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if n.Sub(d.reachedAt) < reachedTime {
		return nil, false
	}
	if d.probe != nil && !d.probe.expired(n) {
		return d.probe, false
	}
	d.probe = &probe{done: make(chan struct{})}
	return d.probe, true
}

// probeLater looks whether the host is cut as soon as connections that it has opened before do
// not count any more. Otherwise no call might notice the cut: those that fail before that time
// make their servers be left alone.
func (d *Dialer) probeLater() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.later {
		return
	}
	d.later = true
	time.AfterFunc(max(0, reachedTime-d.Clock.Now().Sub(d.reachedAt)), func() {
		d.mu.Lock()
		d.later = false
		d.mu.Unlock()
		d.ReportSilence()
	})
}

// expired reports whether the probe has ended and does not count any more.
func (p *probe) expired(now time.Time) bool {
	select {
	case <-p.done:
		return p.reached || now.Sub(p.endedAt) > failedTime
	default:
		return false
	}
}

// dialAny reports whether the host connects to one of some servers other than the one
// at address, or to that one if there are no others. It dials one first, since that
// usually connects, and the others if it does not connect soon.
func (d *Dialer) dialAny(ctx context.Context, address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	l := d.pickServers(address)
	if len(l) == 0 {
		return false
	}
	c := make(chan bool, len(l))
	go func() { c <- d.connects(ctx, l[0]) }()
	t := time.NewTimer(firstProbeTime)
	defer t.Stop()
	n := len(l) // the results that are still to come
	select {
	case k := <-c:
		if k {
			return true
		}
		n--
	case <-t.C:
	}
	for _, a := range l[1:] {
		go func() { c <- d.connects(ctx, a) }()
	}
	for range n {
		if <-c {
			return true
		}
	}
	return false
}

// connects reports whether the host connects to address. It closes the connection.
func (d *Dialer) connects(ctx context.Context, address netip.AddrPort) bool {
	k, err := d.direct(ctx, address)
	if err != nil {
		return false
	}
	d.recordReached()
	k.Close()
	return true
}

// pickServers returns the addresses of up to maxProbed servers, of different services
// as far as possible, that are not at address. If there are none, it returns address.
func (d *Dialer) pickServers(address netip.AddrPort) []netip.AddrPort {
	s := d.Source.Current().BackendServers
	d.mu.Lock()
	o := d.Random.Perm(len(s))
	d.mu.Unlock()
	var l, m []netip.AddrPort
	k := make(map[string]bool)
	for _, i := range o {
		switch {
		case s[i].Address == address:
		case k[s[i].Service]:
			m = append(m, s[i].Address)
		default:
			k[s[i].Service] = true
			l = append(l, s[i].Address)
		}
	}
	l = append(l, m...)
	if len(l) == 0 && address.IsValid() {
		return []netip.AddrPort{address}
	}
	return l[:min(maxProbed, len(l))]
}
