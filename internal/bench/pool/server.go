package pool

import (
	"fmt"
	"slices"

	"sardineknot.example/sardineknot"
)

// addEngines makes the engines, spread evenly over the zones.
func (p *Pool) addEngines() {
	m, n, k, f := p.pattern.PrefillEngines, p.pattern.DecodeEngines, 1, 1
	if p.ideal {
		k, f = m+n, n
		m, n = 1, 1
	}
	for i := range m {
		s := p.server(i, sardineknot.RolePrefill)
		p.prefill = append(p.prefill, &prefillEngine{pool: p, server: s, speed: k})
	}
	for i := range n {
		s := p.server(m+i, sardineknot.RoleDecode)
		s.Slots *= f
		s.MemoryTokens *= f
		s.MemoryPieces *= f
		p.decode = append(p.decode, &decodeEngine{pool: p, server: s, speed: f})
	}
}

func (p *Pool) server(i int, r sardineknot.BackendRole) sardineknot.BackendServer {
	return sardineknot.BackendServer{
		Name:         sardineknot.BackendServerName(fmt.Sprintf("engine-%d", i)),
		Zone:         p.pattern.Zones[i%len(p.pattern.Zones)],
		Role:         r,
		Model:        "bench",
		Version:      "1",
		State:        sardineknot.BackendJoining,
		Slots:        p.pattern.Slots,
		MemoryTokens: p.pattern.Memory,
		MemoryPieces: p.pattern.Memory / sardineknot.TokensPerMemoryPiece,
		EventTokens:  p.pattern.EventTokens,
		Born:         1,
	}
}

func (p *Pool) findPrefill(n sardineknot.BackendServerName) *prefillEngine {
	i := slices.IndexFunc(p.prefill, func(r *prefillEngine) bool { return r.server.Name == n })
	if i < 0 {
		return nil
	}
	return p.prefill[i]
}

func (p *Pool) findDecode(n sardineknot.BackendServerName) *decodeEngine {
	i := slices.IndexFunc(p.decode, func(r *decodeEngine) bool { return r.server.Name == n })
	return p.decode[i]
}

// setServers tells the scheduler the live engines.
func (p *Pool) setServers() {
	var l []sardineknot.BackendServer
	for _, r := range p.prefill {
		if !r.dead {
			l = append(l, r.server)
		}
	}
	for _, r := range p.decode {
		if !r.dead {
			l = append(l, r.server)
		}
	}
	p.decided(p.scheduler.SetServers(p.Now(), l, p.links()))
}

func (p *Pool) links() []sardineknot.Link {
	var l []sardineknot.Link
	for i, a := range p.pattern.Zones {
		for _, b := range p.pattern.Zones[i:] {
			l = append(l, sardineknot.Link{From: a, To: b, Delay: p.pattern.Hop, BytesPerSecond: linkRate})
		}
	}
	return l
}

// linkRate is the declared rate of links, in bytes a second.
const linkRate = 1e12

// reportLoads delivers what the engines run, late, and does so again.
func (p *Pool) reportLoads() {
	for _, r := range p.decode {
		if r.dead {
			continue
		}
		l := sardineknot.LoadReport{Server: r.server.Name, MeasuredAt: p.Now(), Running: len(r.running), Waiting: len(r.waiting)}
		for _, a := range r.running {
			c := sardineknot.RequestID(fmt.Sprint(a.try.ask.id))
			l.RunningRequests = append(l.RunningRequests, sardineknot.RunningRequest{ID: c, MemoryTokens: a.held, Events: a.try.events})
		}
		p.After(p.pattern.ReportLag, func() {
			if !p.down {
				l.MeasuredAt = p.Now()
				p.scheduler.ObserveLoad(p.Now(), l)
			}
		})
	}
	p.After(p.pattern.ReportEvery, p.reportLoads)
}
