package twirp

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
	rpc "sardineknot.example/sardineknot/internal/rpc/versions"
	"sardineknot.example/sardineknot/internal/versions/history"
	"sardineknot.example/sardineknot/internal/versions/store"
)

const (
	// replicas is the number of other hosts to which a record is sent, and asked
	// the number of hosts that are asked for one. More hosts are asked, because
	// hosts that have come since then may rank first.
	replicas = 2
	asked    = 3
	// callTimeout bounds a call to another host.
	callTimeout = 250 * time.Millisecond
	// maxSends bounds the concurrent calls that send records. Further records
	// stay on this host.
	maxSends = 64
	// minStreamTime is the least time for which records are kept. They are kept
	// longer if a route allows streams to last longer.
	minStreamTime = 15 * time.Second
)

// Directory is a sardineknot.StreamVersions. All exported fields must be set
// before use.
type Directory struct {
	// Members lists the entry hosts.
	Members sardineknot.Membership
	// Source provides the backend servers and the routes.
	Source sardineknot.ConfigurationSource
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Client sends requests to other entry hosts.
	Client *http.Client
	// Refresh waits until Source and Keeper reflect all changes of the key-value
	// service that were made before the call. It fails if that takes too long.
	Refresh func(context.Context) error
	// Keeper keeps versions in the key-value service. NewDirectory creates it; its
	// other fields must be set.
	Keeper *store.Keeper
	// Log receives an event for each record that another host did not get, and
	// for each version that was not found.
	Log zerolog.Logger

	records records
	history history.History
	// counts holds the numbers of servers in the latest configuration, and routes how routes
	// were split lately.
	counts serverCounts
	routes routeHistory
	// sends holds an element for each call in progress that sends a record.
	sends chan struct{}
	// outbox holds the records that are to be written to the key-value service.
	outbox outbox
	// changed receives an element when the keys of the service have changed.
	changed chan struct{}
}

var _ sardineknot.StreamVersions = (*Directory)(nil)

// NewDirectory returns a directory without records.
func NewDirectory(clock sardineknot.Clock) *Directory {
	d := &Directory{Clock: clock, sends: make(chan struct{}, maxSends), changed: make(chan struct{}, 1)}
	d.outbox.wake = make(chan struct{}, 1)
	d.Keeper = store.NewKeeper(clock)
	d.Keeper.History, d.Keeper.StreamTime, d.Keeper.Refresh = &d.history, d.streamTime, d.readChanges
	return d
}

// Run follows the backend servers, and keeps their versions in the key-value service,
// until ctx is done. It always returns nil.
func (d *Directory) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.Keeper.Run(ctx) })
	g.Go(func() error { return d.sendBatches(ctx) })
	g.Go(func() error { return d.follow(ctx) })
	return g.Wait()
}

// follow follows the backend servers and the keys until ctx is done. It always
// returns nil.
func (d *Directory) follow(ctx context.Context) error {
	for {
		c := d.Source.Changed()
		d.observe()
		d.refreshOutbox()
		select {
		case <-c:
		case <-d.changed:
		case <-time.After(minStreamTime):
		case <-ctx.Done():
			return nil
		}
	}
}

// observe records which versions the engines have. Plain services have no streams.
func (d *Directory) observe() {
	c := d.Source.Current()
	d.routes.observe(d.Clock.Now(), c.Routes)
	l := slices.Clone(c.BackendServers)
	l = slices.DeleteFunc(l, func(b sardineknot.BackendServer) bool { return b.Role == sardineknot.RolePlain })
	d.history.Observe(d.Clock.Now(), l)
	d.Keeper.Wake()
}

// Apply applies a changed entry of the key-value service, and reports whether other
// hosts that read from this one need it.
func (d *Directory) Apply(entry sardineknot.StoreEntry) bool {
	ok := d.Keeper.Apply(entry)
	if ok {
		d.notify(d.changed)
	}
	return ok
}

// Commit records that all entries up to revision were applied.
func (d *Directory) Commit(revision sardineknot.StoreRevision) {
	if d.Keeper.Commit(revision) {
		d.notify(d.changed)
	}
}

// notify puts an element into channel unless it has one.
func (d *Directory) notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Announce implements sardineknot.StreamVersions. Only the key-value service keeps it, for
// callers that return after all hosts were lost: it is written while the first event is
// generated.
func (d *Directory) Announce(stream sardineknot.RequestID, version sardineknot.SoftwareVersion) {
	d.recordBatch(store.GrantHash(stream, version), version)
}

// Confirm implements sardineknot.StreamVersions. A stream with two announced versions counts
// as begun by none of them. Nothing was announced while no service was mixed.
func (d *Directory) Confirm(ctx context.Context, stream sardineknot.RequestID, version sardineknot.SoftwareVersion) error {
	d.outbox.mu.Lock()
	k := len(d.outbox.mixed) == 0
	d.outbox.mu.Unlock()
	if k {
		return nil
	}
	return d.write(ctx, map[uint64]sardineknot.SoftwareVersion{store.GrantHash(stream, version): version})
}

// Record implements sardineknot.StreamVersions.
func (d *Directory) Record(stream sardineknot.RequestID, version sardineknot.SoftwareVersion) {
	if version == "" {
		return
	}
	d.put(stream, version)
	d.recordBatch(store.StreamHash(stream), version)
	for _, h := range d.peers(stream, replicas) {
		select {
		case d.sends <- struct{}{}:
			go d.send(h, stream, version)
		default:
			d.Log.Debug().Stringer("event", sardineknot.LogVersionNotSent).Str("request", string(stream)).Str("peer", string(h.ID)).Send()
		}
	}
}

// put keeps a record on this host.
func (d *Directory) put(stream sardineknot.RequestID, version sardineknot.SoftwareVersion) {
	n := d.Clock.Now()
	d.records.put(n, n.Add(-d.streamTime()), stream, version)
}

// send sends a record to host.
func (d *Directory) send(host sardineknot.EntryHost, stream sardineknot.RequestID, version sardineknot.SoftwareVersion) {
	defer func() { <-d.sends }()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := d.client(host).Record(ctx, &rpc.RecordRequest{Stream: string(stream), Version: string(version)})
	if err != nil {
		d.Log.Debug().Stringer("event", sardineknot.LogVersionNotSent).Str("request", string(stream)).Str("peer", string(host.ID)).Err(err).Send()
	}
}

// Find implements sardineknot.StreamVersions. If the configuration has no server of
// the version that is found, Find first reads the latest changes of the key-value service, so
// that the stream can go on at a server that has just started.
func (d *Directory) Find(ctx context.Context, stream sardineknot.RequestID, route *sardineknot.Route, service sardineknot.ServiceName) (version sardineknot.SoftwareVersion, at sardineknot.ServiceName, found bool) {
	l := route.Services(service)
	v, ok := d.records.get(stream)
	if ok {
		n, k := d.serving(l, v)
		if k {
			return v, n, true
		}
	}
	f := d.refresh(ctx)
	if !ok {
		v, ok = d.findElsewhere(ctx, f, stream, route, service)
	}
	n, k := d.serving(l, v)
	if ok && !k {
		f.current()
		n, k = d.serving(l, v)
	}
	if !k {
		n = service
	}
	return v, n, ok
}

// findElsewhere returns the version that began stream, which this host has not recorded.
// A stream that no host and no record in the key-value service lists goes on at the only
// version that may have begun it, and not at all if there are several. Whether there is
// only one is decided after latest, a read of the changes that were made before the
// call: servers of another version may have started since the last read, at a host that
// is cut off, paused or behind.
func (d *Directory) findElsewhere(ctx context.Context, latest *refresh, stream sardineknot.RequestID, route *sardineknot.Route, service sardineknot.ServiceName) (sardineknot.SoftwareVersion, bool) {
	if latest.currentWithin(askDelay) {
		l, o := d.versionsOf(d.routes.services(d.Clock.Now().Add(-d.streamTime()), route))
		if o && len(l) == 1 {
			return l[0], true
		}
	}
	v, a := d.ask(ctx, stream, service)
	if v != "" {
		return v, true
	}
	c := d.conclude(ctx, latest, route, service, a)
	v, ok := c.only()
	// Segments may show a version whose key was not written before all hosts were
	// killed, and services that were taken off the route.
	if !ok || c.split || d.Keeper.MayHaveSegments() {
		if v, ok := d.Keeper.Find(ctx, stream); ok {
			return v, true
		}
	}
	if !ok {
		d.Log.Warn().Stringer("event", sardineknot.LogVersionUnknown).Str("request", string(stream)).Str("service", string(service)).
			Int("versions", len(c.versions)).Bool("read", c.read).Bool("current", c.current).Bool("complete", c.complete).Bool("moved", c.moved).Send()
	}
	return v, ok
}

// versionsOf returns the versions that may have begun streams of services, and whether this
// host has observed the servers for as long as such streams may last.
func (d *Directory) versionsOf(services []sardineknot.ServiceName) (versions []sardineknot.SoftwareVersion, settled bool) {
	settled = true
	for _, s := range services {
		l, _, o := d.Keeper.Versions(s)
		versions, settled = union(versions, l), settled && o
	}
	return versions, settled
}

// serving returns the first of services that has a server of version, if possible one that
// accepts work.
func (d *Directory) serving(services []sardineknot.ServiceName, version sardineknot.SoftwareVersion) (service sardineknot.ServiceName, found bool) {
	m := make(map[sardineknot.ServiceName]sardineknot.BackendState)
	for _, b := range d.Source.Current().BackendServers {
		n := sardineknot.ServiceName(b.Service)
		if b.SoftwareVersion == version && m[n] != sardineknot.BackendJoining {
			m[n] = b.State
		}
	}
	for _, s := range services {
		if m[s] == sardineknot.BackendJoining {
			return s, true
		}
	}
	for _, s := range services {
		if _, ok := m[s]; ok {
			return s, true
		}
	}
	return "", false
}

// streamTime returns the longest time for which a caller may come back after a
// stream has begun.
func (d *Directory) streamTime() time.Duration {
	t := minStreamTime
	for _, r := range d.Source.Current().Routes {
		if r.Kind == sardineknot.RouteStream {
			t = max(t, r.Timeout)
		}
	}
	return t
}

// ask asks other hosts for the version that began stream. It returns an empty
// version if none of them knows it, with the versions of service that they have
// seen.
func (d *Directory) ask(ctx context.Context, stream sardineknot.RequestID, service sardineknot.ServiceName) (sardineknot.SoftwareVersion, []sardineknot.SoftwareVersion) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l := d.peers(stream, asked)
	a := make(chan *rpc.FindResponse, len(l))
	for _, h := range l {
		go func() {
			p, err := d.client(h).Find(ctx, &rpc.FindRequest{Stream: string(stream), Service: string(service)})
			if err != nil {
				d.Log.Debug().Stringer("event", sardineknot.LogVersionNotSent).Str("request", string(stream)).Str("peer", string(h.ID)).Err(err).Send()
			}
			a <- p
		}()
	}
	var o []sardineknot.SoftwareVersion
	for range l {
		p := <-a
		if v := p.GetVersion(); v != "" {
			return sardineknot.SoftwareVersion(v), nil
		}
		for _, v := range p.GetSeen() {
			o = union(o, []sardineknot.SoftwareVersion{sardineknot.SoftwareVersion(v)})
		}
	}
	return "", o
}

// peers returns the first count other hosts that are not known to be dead, by
// their rank for stream.
func (d *Directory) peers(stream sardineknot.RequestID, count int) []sardineknot.EntryHost {
	l := sardineknot.OtherHosts(d.Members)
	slices.SortFunc(l, func(a, b sardineknot.EntryHost) int {
		return cmp.Compare(rendezvous.Weight(string(stream), b.ID), rendezvous.Weight(string(stream), a.ID))
	})
	return l[:min(count, len(l))]
}

func (d *Directory) client(host sardineknot.EntryHost) rpc.Versions {
	return rpc.NewVersionsProtobufClient("http://"+host.PeerAddress.String(), d.Client)
}

// union returns the elements of a and b, each once.
func union(a, b []sardineknot.SoftwareVersion) []sardineknot.SoftwareVersion {
	l := append(slices.Clone(a), b...)
	slices.Sort(l)
	return slices.Compact(l)
}
