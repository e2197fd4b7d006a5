package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/reach"
	"sardineknot.example/sardineknot/internal/peer/tunnel"
)

var _ sardineknot.ServerDialer = (*Process)(nil)

// addDialer creates what connects to backend servers.
func (p *Process) addDialer() {
	n := uint64(p.registry.Self().Incarnation)
	p.tunnels = &tunnel.Tunnels{Client: p.peers.StreamClient(), Source: p.source, Metrics: p.Metrics}
	p.dialer = reach.NewDialer()
	p.dialer.Self, p.dialer.Members, p.dialer.Source, p.dialer.Clock = p.Settings.ID, p.registry, p.source, p.clock
	p.dialer.Tunnels, p.dialer.Direct, p.dialer.Changed = p.tunnels, p.DialServer, p.changeWay
	p.dialer.Random, p.dialer.Log, p.dialer.Metrics = rand.New(rand.NewPCG(n, n+4)), p.Log, p.Metrics
	p.tunnels.Dial = p.dialer.DialDirect
}

// changeWay is called when the host has been cut from all servers, and when that has ended.
func (p *Process) changeWay() {
	p.circuits.Reset()
	p.CloseIdleConnections()
}

// Dial implements sardineknot.ServerDialer.
func (p *Process) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return p.dialer.Dial(ctx, address)
}

// Usable implements sardineknot.ServerDialer.
func (p *Process) Usable(connection net.Conn) bool { return p.dialer.Usable(connection) }

// ReportSilence implements sardineknot.ServerDialer.
func (p *Process) ReportSilence() { p.dialer.ReportSilence() }
