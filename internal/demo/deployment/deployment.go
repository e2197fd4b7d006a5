// Package deployment runs an example deployment within one process: stand-ins
// of the platform and of every declared backend server, and some of its entry
// hosts. All of them talk over loopback addresses, and all state is in memory.
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
	anyAddress = "127.0.0.1:0"
	// tokenInterval and prefillPerToken are the speed of the engines.
	tokenInterval   = 5 * time.Millisecond
	prefillPerToken = 200 * time.Microsecond
	eviction        = 800 * time.Millisecond
	// placementValidity bounds how long a stop takes.
	placementValidity = 300 * time.Millisecond
	heartbeat         = 100 * time.Millisecond
	readyPause        = 10 * time.Millisecond
)

// Deployment is a running example. All fields but Name and Records are for
// reading only.
type Deployment struct {
	// Name is the directory of the example.
	Name string
	// Configuration is what is in force.
	Configuration *sardineknot.Configuration
	// Entries and Admins are the addresses of the entry hosts for callers and
	// for operators.
	Entries []netip.AddrPort
	Admins  []netip.AddrPort
	// Records holds what each backend server saw, by name.
	Records map[sardineknot.BackendServerName]*record.Recorder

	log    zerolog.Logger
	store  netip.AddrPort
	server []*http.Server
	stop   context.CancelFunc
	group  errgroup.Group
}

// Start runs the example in the directory name of f with n entry hosts, and
// returns when all of them have its declarations in force. Entry hosts log to
// l.
func Start(ctx context.Context, f fs.FS, name string, n int, l zerolog.Logger) (*Deployment, error) {
	d := &Deployment{Name: name, log: l, Records: make(map[sardineknot.BackendServerName]*record.Recorder)}
	s, err := fs.Sub(f, name+"/declarations")
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
		err = d.startEntries(ctx, n)
	}
	return d, err
}

// Stop ends the entry hosts gracefully, then the stand-ins. It returns the
// first error of an entry host.
func (d *Deployment) Stop() error {
	d.stop()
	err := d.group.Wait()
	for _, s := range d.server {
		s.Close()
	}
	return err
}

func (d *Deployment) startPlatform() error {
	m := http.NewServeMux()
	m.Handle("/v3/", standin.NewServer(&fault.Control{}, &record.Recorder{}))
	m.Handle("/hosts", httpsd.NewServer(&fault.Control{}, &record.Recorder{}))
	var err error
	d.store, err = d.serve(m)
	return err
}

// startBackends runs a stand-in of every backend server and puts its address
// in the configuration.
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

func (d *Deployment) startBackend(b sardineknot.BackendServer, r *record.Recorder) (netip.AddrPort, error) {
	if b.Role == sardineknot.RolePlain {
		return d.serve(&plain.Server{Name: string(b.Name), Faults: &fault.Control{}, Log: r})
	}
	e := &engine.Server{
		Name:            string(b.Name),
		Model:           b.Model,
		Version:         b.Version,
		Role:            string(b.Role),
		Slots:           b.Slots,
		TokenInterval:   tokenInterval,
		PrefillPerToken: prefillPerToken,
		Eviction:        eviction,
		Faults:          &fault.Control{},
		Log:             r,
	}
	a, err := d.serve(e)
	e.Address = a.String()
	return a, err
}

func (d *Deployment) apply(ctx context.Context) error {
	h := sardineknot.ConfigurationHead{Author: "demo"}
	return writer.NewWriter(etcd.NewClient(d.store, 0)).Write(ctx, d.Configuration, h, 0)
}

// startEntries runs n entry hosts, in turn in the zones of the links.
func (d *Deployment) startEntries(ctx context.Context, n int) error {
	var l []sardineknot.Settings
	for i := range n {
		s, err := d.settings(i)
		if err != nil {
			return err
		}
		l = append(l, s)
	}
	err := d.list(ctx, l)
	if err != nil {
		return err
	}
	c, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	for _, s := range l {
		d.Entries = append(d.Entries, s.CallerAddress)
		d.Admins = append(d.Admins, s.AdminAddress)
		p := process.NewProcess(s, d.log)
		d.group.Go(func() error { return p.Run(c) })
	}
	for _, a := range d.Admins {
		err := awaitReady(ctx, a)
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) settings(i int) (sardineknot.Settings, error) {
	l := d.Configuration.Links
	s := sardineknot.Settings{
		ID:                sardineknot.EntryHostID("entry-" + string(rune('1'+i))),
		Zone:              l[i%len(l)].To,
		Store:             d.store,
		HostList:          d.store,
		PlacementValidity: placementValidity,
		Heartbeat:         heartbeat,
	}
	var err error
	for _, a := range []*netip.AddrPort{&s.CallerAddress, &s.PeerAddress, &s.AdminAddress} {
		*a, err = freeAddress()
		if err != nil {
			return s, err
		}
	}
	return s, nil
}

// list puts the entry hosts with settings l on the platform's host list.
func (d *Deployment) list(ctx context.Context, l []sardineknot.Settings) error {
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
	for _, s := range l {
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

// serve answers with h on a free address and returns it.
func (d *Deployment) serve(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", anyAddress)
	if err != nil {
		return netip.AddrPort{}, errors.WithStack(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	d.server = append(d.server, s)
	go func() { _ = s.Serve(l) }()
	return netip.ParseAddrPort(l.Addr().String())
}

// freeAddress returns an address that was free a moment ago.
func freeAddress() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", anyAddress)
	if err != nil {
		return netip.AddrPort{}, errors.WithStack(err)
	}
	defer l.Close()
	return netip.ParseAddrPort(l.Addr().String())
}

// awaitReady waits until the entry host with admin address a admits requests.
func awaitReady(ctx context.Context, a netip.AddrPort) error {
	for {
		h, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+"/readyz", nil)
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
		select {
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		case <-time.After(readyPause):
		}
	}
}
