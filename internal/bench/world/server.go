package world

import (
	"container/list"
	"fmt"
	"time"

	"sardineknot.example/sardineknot"
)

func newPrefillEngine(w *World, s sardineknot.BackendServer) *prefillEngine {
	return &prefillEngine{world: w, server: s, cache: make(map[uint64]*list.Element), order: list.New()}
}

// server returns backend server i of its kind.
func (w *World) server(i int, kind string, role sardineknot.BackendRole) sardineknot.BackendServer {
	return sardineknot.BackendServer{
		Name:    sardineknot.BackendServerName(fmt.Sprintf("%s-%d", kind, i)),
		Zone:    w.zone(i),
		Role:    role,
		Model:   "bench",
		Version: "1",
		State:   sardineknot.BackendJoining,
	}
}

// setServers tells the scheduler the live servers and the declared links.
func (w *World) setServers() {
	var l []sardineknot.BackendServer
	for _, e := range w.prefill {
		if !e.dead {
			l = append(l, e.server)
		}
	}
	for _, e := range w.decode {
		if !e.dead {
			l = append(l, e.server)
		}
	}
	w.decided(w.scheduler.SetServers(w.Now(), l, w.declaredLinks()))
}

func (w *World) declaredLinks() []sardineknot.Link {
	var l []sardineknot.Link
	z := w.workload.Zones
	for i, a := range z {
		for _, b := range z[i:] {
			r := w.workload.BetweenZones
			if a == b {
				r = w.workload.WithinZone
			}
			l = append(l, sardineknot.Link{From: a, To: b, Delay: w.workload.Hop, BytesPerSecond: r})
		}
	}
	return l
}

// reportLoads delivers the load of all engines, and does so again.
func (w *World) reportLoads() {
	d := w.workload.ReportLag
	if w.faulty(FaultLag) {
		d = laggingReports
	}
	for _, r := range w.loads() {
		w.After(d, func() { w.scheduler.ObserveLoad(w.Now(), r) })
	}
	w.After(w.workload.ReportEvery, w.reportLoads)
}

func (w *World) loads() []sardineknot.LoadReport {
	var l []sardineknot.LoadReport
	for _, e := range w.prefill {
		if e.dead {
			continue
		}
		r := sardineknot.LoadReport{Server: e.server.Name, MeasuredAt: w.Now(), Waiting: len(e.queue)}
		if e.current != nil {
			r.Running = 1
		}
		l = append(l, r)
	}
	for _, e := range w.decode {
		if !e.dead {
			l = append(l, sardineknot.LoadReport{Server: e.server.Name, MeasuredAt: w.Now(), Running: len(e.running), Waiting: len(e.waiting)})
		}
	}
	return l
}

func (w *World) beginFault() {
	switch w.fault {
	case FaultKill:
		w.kill()
	case FaultLink:
		w.setLinks(slowLink)
	case FaultEntry:
		w.killEntryHost()
	}
}

func (w *World) endFault() {
	switch w.fault {
	case FaultKill:
		w.prefill[0].dead, w.decode[0].dead = false, false
		w.prefill[0].cache, w.prefill[0].order = make(map[uint64]*list.Element), list.New()
		w.setServers()
	case FaultLink:
		w.setLinks(1)
	case FaultEntry:
		w.dead = -1
	}
}

// kill ends a prefill and a decode engine. In an ideal world they finish their
// work.
func (w *World) kill() {
	p, d := w.prefill[0], w.decode[0]
	p.dead, d.dead = true, true
	if w.ideal {
		w.setServers()
		return
	}
	l := append(append([]*try(nil), p.queue...), append(d.waiting, d.running...)...)
	if p.current != nil {
		l = append(l, p.current)
	}
	for _, t := range l {
		w.fail(t, t.server(), &w.result.Waste.Failed)
	}
	w.After(removal, w.setServers)
}

// setLinks multiplies the rates of the links of the first zone by f.
func (w *World) setLinks(f float64) {
	z := w.workload.Zones
	for _, b := range z {
		k := w.links[newPair(z[0], b)]
		k.advance()
		k.rate = f * float64(w.workload.BetweenZones)
		if b == z[0] {
			k.rate = float64(w.workload.WithinZone)
		}
		k.plan()
	}
}

// killEntryHost silences the jobs of the first entry host. Their callers ask
// another one, and engines are told to cancel what they hold after detection.
func (w *World) killEntryHost() {
	if w.ideal {
		return
	}
	w.dead = 0
	for _, t := range w.triesInOrder() {
		if t.host != 0 {
			continue
		}
		t.orphan = true
		w.After(detection, func() { w.discard(t, &w.result.Waste.Failed) })
		c := *t
		w.After(reconnect, func() {
			if !c.ask.ended {
				w.submit(c.ask, c.returns)
			}
		})
	}
	w.After(time.Nanosecond, w.scheduleWake)
}
