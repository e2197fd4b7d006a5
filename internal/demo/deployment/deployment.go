// Package deployment runs an example deployment within one process: entry hosts,
// and stand-ins of the platform and of every declared backend server. They
// communicate over loopback addresses and keep all state in memory.
package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"io/fs"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/writer"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/host/process"
	"sardineknot.example/sardineknot/internal/operator/declarations"
	"sardineknot.example/sardineknot/internal/platform/etcd"
	"sardineknot.example/sardineknot/internal/standin/engine"
	standin "sardineknot.example/sardineknot/internal/standin/etcd"
	"sardineknot.example/sardineknot/internal/standin/fault"
	"sardineknot.example/sardineknot/internal/standin/httpsd"
	"sardineknot.example/sardineknot/internal/standin/plain"
	"sardineknot.example/sardineknot/internal/standin/record"
)

const (
	ephemeralAddress = "127.0.0.1:0"
	// tokenInterval and prefillPerToken determine the speed of the engines.
	tokenInterval   = 5 * time.Millisecond
	prefillPerToken = 200 * time.Microsecond
	// evictionDelay is the time after which engines evict the KV caches of
	// prefills.
	evictionDelay = 800 * time.Millisecond
	// placementValidity is the time for which callers may cache a placement. A
	// host that stops gracefully waits for this time, so that a short one makes
	// Stop fast.
	placementValidity = 300 * time.Millisecond
	heartbeat         = 100 * time.Millisecond
	readyPollInterval = 10 * time.Millisecond
)

// Deployment is a running example deployment. Start sets its fields, which must
// not be modified afterwards.
type Deployment struct {
	// Name is the directory of the example.
	Name string
	// Configuration is the configuration in force.
	Configuration *sardineknot.Configuration
	// CallerAddresses holds the addresses of the entry hosts for callers.
	CallerAddresses []netip.AddrPort
	// AdminAddresses holds the addresses of the entry hosts for operators.
	AdminAddresses []netip.AddrPort
	// Records holds the event record of each backend server, by server name.
	Records map[sardineknot.BackendServerName]*record.Recorder

	log   zerolog.Logger
	store netip.AddrPort
	// listeners holds the listener of each address of an entry host. It is open before the
	// host runs, so that no other process takes the port.
	listeners map[netip.AddrPort]net.Listener
	servers   []*http.Server
	stop      context.CancelFunc
	group     errgroup.Group
}

// Start starts the example whose declarations are in the directory called name
// of fsys, with the given number of entry hosts, which log to logger. It
// returns when all of them admit requests under these declarations.
func Start(ctx context.Context, fsys fs.FS, name string, hosts int, logger zerolog.Logger) (*Deployment, error) {
	d := &Deployment{Name: name, log: logger, Records: make(map[sardineknot.BackendServerName]*record.Recorder), listeners: make(map[netip.AddrPort]net.Listener)}
	s, err := fs.Sub(fsys, name+"/declarations")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	d.Configuration, err = declarations.Load(s, name)
	if err != nil {
		return nil, err
	}
	err = d.startPlatform()
	if err == nil {
		err = d.startBackends()
	}
	if err == nil {
		err = d.apply(ctx)
	}
	if err == nil {
		err = d.startEntryHosts(ctx, hosts)
	}
	return d, err
}

// Stop stops the entry hosts gracefully, then the stand-ins. It returns the
// first error of an entry host. It must be called only after Start has
// succeeded.
func (d *Deployment) Stop() error {
	d.stop()
	err := d.group.Wait()
	for _, s := range d.servers {
		s.Close()
	}
	return err
}

// startPlatform starts a stand-in of the platform, which serves the store and
// the host list at one address.
func (d *Deployment) startPlatform() error {
	m := http.NewServeMux()
	m.Handle("/v3/", standin.NewServer(&fault.Injector{}, &record.Recorder{}))
	m.Handle("/hosts", httpsd.NewServer(&fault.Injector{}, &record.Recorder{}))
	var err error
	d.store, err = d.serve(m)
	return err
}

// startBackends starts a stand-in of every declared backend server and replaces
// the declared addresses by those of the stand-ins.
func (d *Deployment) startBackends() error {
	for i := range d.Configuration.BackendServers {
		b := &d.Configuration.BackendServers[i]
		r := &record.Recorder{}
		d.Records[b.Name] = r
		a, err := d.startBackend(*b, r)
		if err != nil {
			return err
		}
		b.Address = a
	}
	return nil
}

// startBackend starts a stand-in of the backend server b and returns its
// address. The stand-in records events in r.
func (d *Deployment) startBackend(b sardineknot.BackendServer, r *record.Recorder) (netip.AddrPort, error) {
	if b.Role == sardineknot.RolePlain {
		return d.serve(&plain.Server{Name: string(b.Name), Faults: &fault.Injector{}, Log: r})
	}
	e := &engine.Server{
		Name:            string(b.Name),
		Model:           b.Model,
		Version:         b.Version,
		Role:            string(b.Role),
		Slots:           b.Slots,
		TokenInterval:   tokenInterval,
		PrefillPerToken: prefillPerToken,
		EvictionDelay:   evictionDelay,
		Faults:          &fault.Injector{},
		Log:             r,
	}
	a, err := d.serve(e)
	e.Address = a.String()
	return a, err
}

// apply writes the configuration to the store as the first revision.
func (d *Deployment) apply(ctx context.Context) error {
	h := sardineknot.ConfigurationHead{Author: "demo"}
	return writer.NewWriter(etcd.NewClient(d.store, 0)).Write(ctx, d.Configuration, h, sardineknot.StoreRevision{})
}

// startEntryHosts publishes and runs count entry hosts. Their zones are the To zones of the
// declared links, in turn.
func (d *Deployment) startEntryHosts(ctx context.Context, count int) error {
	var l []sardineknot.Settings
	for i := range count {
		s, err := d.settings(i)
		if err != nil {
			return err
		}
		l = append(l, s)
	}
	err := d.publishHosts(ctx, l)
	if err != nil {
		return err
	}
	return d.run(ctx, l)
}

// run runs an entry host with each of the given settings and waits until all of them are ready.
// It fails if one of them ends.
func (d *Deployment) run(ctx context.Context, hosts []sardineknot.Settings) error {
	c, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	ctx, f := context.WithCancelCause(ctx)
	defer f(nil)
	for _, s := range hosts {
		d.runEntryHost(c, s, f)
	}
	for _, a := range d.AdminAddresses {
		err := awaitReady(ctx, a)
		if err != nil {
			return err
		}
	}
	return nil
}

// runEntryHost runs an entry host with settings until ctx is done. It calls fail with the
// error with which the host ends, or nil.
func (d *Deployment) runEntryHost(ctx context.Context, settings sardineknot.Settings, fail context.CancelCauseFunc) {
	d.CallerAddresses = append(d.CallerAddresses, settings.CallerAddress)
	d.AdminAddresses = append(d.AdminAddresses, settings.AdminAddress)
	p := process.NewProcess(settings, d.log)
	p.Listen = func(a netip.AddrPort) (net.Listener, error) { return d.listeners[a], nil }
	d.group.Go(func() error {
		err := p.Run(ctx)
		fail(err)
		return err
	})
}

// settings returns the settings of the entry host at index.
func (d *Deployment) settings(index int) (sardineknot.Settings, error) {
	l := d.Configuration.Links
	s := sardineknot.Settings{
		ID:                sardineknot.EntryHostID("entry-" + string(rune('1'+index))),
		Zone:              l[index%len(l)].To,
		Store:             d.store,
		HostList:          d.store,
		PlacementValidity: placementValidity,
		Heartbeat:         heartbeat,
	}
	var err error
	for _, a := range []*netip.AddrPort{&s.CallerAddress, &s.PeerAddress, &s.AdminAddress} {
		*a, err = d.reserveAddress()
		if err != nil {
			return s, err
		}
	}
	return s, nil
}

// publishHosts publishes the entry hosts with the given settings in the host
// list of the platform.
func (d *Deployment) publishHosts(ctx context.Context, hosts []sardineknot.Settings) error {
	type labels struct {
		Name  sardineknot.EntryHostID      `json:"name"`
		Role  sardineknot.ListedRole       `json:"role"`
		Zone  sardineknot.AvailabilityZone `json:"zone"`
		State string                       `json:"state"`
		Peer  netip.AddrPort               `json:"peer"`
	}
	type group struct {
		Targets []netip.AddrPort `json:"targets"`
		Labels  labels           `json:"labels"`
	}
	var g []group
	for _, s := range hosts {
		g = append(g, group{
			Targets: []netip.AddrPort{s.CallerAddress},
			Labels:  labels{s.ID, sardineknot.ListedEntryHost, s.Zone, "live", s.PeerAddress},
		})
	}
	b, err := json.Marshal(g)
	if err != nil {
		return errors.WithStack(err)
	}
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.store.String()+"/hosts", bytes.NewReader(b))
	if err != nil {
		return errors.WithStack(err)
	}
	p, err := http.DefaultTransport.RoundTrip(h)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(p.Body.Close())
}

// serve starts an HTTP server for handler on a free loopback address and
// returns this address.
func (d *Deployment) serve(handler http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", ephemeralAddress)
	if err != nil {
		return netip.AddrPort{}, errors.WithStack(err)
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return netip.ParseAddrPort(l.Addr().String())
}

// reserveAddress listens on a free loopback address and returns it.
func (d *Deployment) reserveAddress() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", ephemeralAddress)
	if err != nil {
		return netip.AddrPort{}, errors.WithStack(err)
	}
	a, err := netip.ParseAddrPort(l.Addr().String())
	d.listeners[a] = l
	return a, errors.WithStack(err)
}

// awaitReady waits until the entry host with the given admin address admits
// requests. It fails with the cause of ctx if that is done first.
func awaitReady(ctx context.Context, address netip.AddrPort) error {
	for {
		h, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/readyz", nil)
		if err != nil {
			return errors.WithStack(err)
		}
		p, err := http.DefaultTransport.RoundTrip(h)
		if err == nil {
			p.Body.Close()
		}
		if err == nil && p.StatusCode == http.StatusOK {
			return nil
		}
		err = clock.System{}.Sleep(ctx, readyPollInterval)
		if err != nil {
			return errors.WithStack(context.Cause(ctx))
		}
	}
}
