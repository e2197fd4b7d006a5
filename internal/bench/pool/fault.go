package pool

import (
	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/bench/pattern"
)

// planFaults begins and ends the faults of the pattern.
func (p *Pool) planFaults() {
	for _, f := range p.pattern.Faults {
		p.At(p.start.Add(f.From), func() { p.setFault(f.Kind, f.Share, f.Factor, true) })
		p.At(p.start.Add(f.From+f.For), func() { p.setFault(f.Kind, f.Share, f.Factor, false) })
	}
}

// setFault begins or ends a fault on a share of the engines.
func (p *Pool) setFault(kind string, share, factor float64, on bool) {
	r := p.prefill[:hit(len(p.prefill), share)]
	d := p.decode[:hit(len(p.decode), share)]
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
func (p *Pool) setCrashed(l []*prefillEngine, d []*decodeEngine, on bool) {
	for _, e := range l {
		if on {
			e.crash()
			continue
		}
		*e = prefillEngine{pool: p, server: e.server, speed: e.speed}
		e.server.Born++
	}
	for _, e := range d {
		if on {
			e.crash()
			continue
		}
		*e = decodeEngine{pool: p, server: e.server, speed: e.speed, version: e.version + 1}
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
	a, ok := p.scheduler.(sardineknot.JobAdopter)
	for _, k := range p.asks {
		t := k.try
		if t == nil {
			continue
		}
		if t.decode == nil {
			p.offer(t)
			continue
		}
		if ok {
			g := sardineknot.Grant{DecodeEngine: t.decode.server.Name}
			p.decided(a.Adopt(p.Now(), sardineknot.RunningJob{Job: t.job, Grant: g, Tokens: t.events * p.pattern.EventTokens}))
		}
	}
}
