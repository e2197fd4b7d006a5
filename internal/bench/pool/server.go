package pool

import (
	"fmt"
	"slices"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/bench/pattern"
	"sardineknot.example/sardineknot/internal/policy/foresight"
	"sardineknot.example/sardineknot/internal/policy/growth"
)

// addEngines makes the engines, spread evenly over the zones.
func (p *Pool) addEngines() {
	m, n, k, f := p.pattern.Readers, p.pattern.Runners, 1, 1
	if p.ideal {
		k, f = m+n, n
		m, n = 1, 1
	}
	for i := range m {
		s := p.server(i, sardineknot.RolePrefill)
		p.readers = append(p.readers, &reader{pool: p, server: s, speed: k})
	}
	for i := range n {
		s := p.server(m+i, sardineknot.RoleDecode)
		s.Slots *= f
		s.MemoryTokens *= f
		s.MemoryPieces *= f
		p.runners = append(p.runners, &runner{pool: p, server: s, speed: f})
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
		MemoryPieces: p.pattern.Memory / sardineknot.PieceTokens,
		EventTokens:  p.pattern.EventTokens,
		Born:         1,
	}
}

func (p *Pool) reader(n sardineknot.BackendServerName) *reader {
	i := slices.IndexFunc(p.readers, func(r *reader) bool { return r.server.Name == n })
	if i < 0 {
		return nil
	}
	return p.readers[i]
}

func (p *Pool) runner(n sardineknot.BackendServerName) *runner {
	i := slices.IndexFunc(p.runners, func(r *runner) bool { return r.server.Name == n })
	return p.runners[i]
}

// setServers tells the scheduler the live engines.
func (p *Pool) setServers() {
	var l []sardineknot.BackendServer
	for _, r := range p.readers {
		if !r.dead {
			l = append(l, r.server)
		}
	}
	for _, r := range p.runners {
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

// transfer returns the time until the KV cache of t has reached its runner. ok
// is false if it would wait too long.
func (p *Pool) transfer(t *try) (d time.Duration, ok bool) {
	if p.ideal {
		return 0, true
	}
	a, b := t.reader.server, t.runner.server
	d = p.pattern.TransferSetup + time.Duration(t.job.PromptTokens)*p.pattern.Transfer
	if a.Zone != b.Zone {
		d *= time.Duration(p.pattern.AcrossZones)
	}
	d = time.Duration(float64(d) * max(1, p.linkFactor[a.Name], p.linkFactor[b.Name]))
	n := p.Now()
	s := n
	for _, e := range []sardineknot.BackendServerName{a.Name, b.Name} {
		if p.linkFree[e].After(s) {
			s = p.linkFree[e]
		}
	}
	if s.Sub(n) > p.pattern.MaxTransferWait {
		return 0, false
	}
	p.linkFree[a.Name], p.linkFree[b.Name] = s.Add(d), s.Add(d)
	return s.Add(d).Sub(n), true
}

// reportLoads delivers what the engines run, late, and does so again.
func (p *Pool) reportLoads() {
	for _, r := range p.runners {
		if r.dead {
			continue
		}
		l := sardineknot.LoadReport{Server: r.server.Name, At: p.Now(), Running: len(r.running), Waiting: len(r.waiting)}
		for _, a := range r.running {
			c := sardineknot.RequestID(fmt.Sprint(a.try.ask.id))
			l.Runs = append(l.Runs, sardineknot.EngineRun{ID: c, MemoryTokens: a.held, Events: a.try.events})
		}
		p.After(p.pattern.ReportLag, func() {
			if !p.down {
				l.At = p.Now()
				p.scheduler.Observe(p.Now(), l)
			}
		})
	}
	p.After(p.pattern.ReportEvery, p.reportLoads)
}

// planFaults begins and ends the faults of the pattern.
func (p *Pool) planFaults() {
	for _, f := range p.pattern.Faults {
		p.At(p.start.Add(f.From), func() { p.setFault(f.Kind, f.Share, f.Factor, true) })
		p.At(p.start.Add(f.From+f.For), func() { p.setFault(f.Kind, f.Share, f.Factor, false) })
	}
}

// setFault begins or ends a fault on a share of the engines.
func (p *Pool) setFault(kind string, share, factor float64, on bool) {
	r := p.readers[:hit(len(p.readers), share)]
	d := p.runners[:hit(len(p.runners), share)]
	switch kind {
	case pattern.FaultCrash:
		p.setCrashed(r, d, on)
	case pattern.FaultLapse:
		for _, e := range r {
			e.lapsing = on
		}
	case pattern.FaultSlowLinks:
		if !on {
			factor = 1
		}
		for _, e := range r {
			p.linkFactor[e.server.Name] = factor
		}
		for _, e := range d {
			p.linkFactor[e.server.Name] = factor
		}
	case pattern.FaultOwner:
		p.setDown(on)
	}
}

// hit returns the number of n engines that a share is.
func hit(n int, share float64) int { return min(n, int(share*float64(n)+0.5)) }

// setCrashed ends or starts engines.
func (p *Pool) setCrashed(l []*reader, d []*runner, on bool) {
	for _, e := range l {
		if on {
			e.crash()
			continue
		}
		*e = reader{pool: p, server: e.server, speed: e.speed}
		e.server.Born++
	}
	for _, e := range d {
		if on {
			e.crash()
			continue
		}
		*e = runner{pool: p, server: e.server, speed: e.speed, version: e.version + 1}
		e.server.Born++
	}
	p.After(p.pattern.Detection, p.setServers)
}

// setDown ends the scheduler, or begins with a new one that takes over what
// runs.
func (p *Pool) setDown(on bool) {
	p.down = on
	if on {
		return
	}
	p.scheduler = p.create()
	p.setServers()
	a, ok := p.scheduler.(sardineknot.Adopter)
	for _, k := range p.asks {
		t := k.try
		if t == nil {
			continue
		}
		if t.answer == nil {
			p.offer(t)
			continue
		}
		if ok {
			g := sardineknot.Grant{Decode: t.runner.server.Name}
			p.decided(a.Adopt(p.Now(), sardineknot.RunningJob{Job: t.job, Grant: g, Tokens: t.events * p.pattern.EventTokens}))
		}
	}
	p.held = nil
}

// inform gives f what only the world knows.
func (p *Pool) inform(f *foresight.Scheduler) {
	f.Leaves = func(k sardineknot.RequestKey) bool { return !p.tries[k].ask.leaves.IsZero() }
	f.Span = func(k sardineknot.RequestKey) growth.Span {
		t := p.tries[k]
		if t == nil {
			return growth.Span{}
		}
		if a := t.answer; a != nil {
			return growth.Span{Held: float64(a.held + p.pattern.Block), Left: float64(a.left)}
		}
		return growth.Span{Held: float64(t.ask.prompt + p.pattern.Block), Left: float64(t.ask.answer * p.pattern.EventTokens)}
	}
}
