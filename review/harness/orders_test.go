//go:build review

package harness

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// order is an order that reached a model runner.
type order struct {
	server, holder, stage string
	fence                 int64
	at                    time.Time
}

// orderLog holds the orders of all model runners.
type orderLog struct {
	mu   sync.Mutex
	list []order
	// arrived receives an element for each order.
	arrived chan order
}

// add adds o and returns the number of orders.
func (l *orderLog) add(o order) int {
	l.mu.Lock()
	l.list = append(l.list, o)
	n := len(l.list)
	l.mu.Unlock()
	l.arrived <- o
	return n
}

// leaseTime is the bound leaseMs, within which holders must not take turns.
const leaseTime = 3 * time.Second

// runOrders removes a host for good shortly after it has given an order that got no
// answer. Meanwhile the store comes back from an older copy, which lacks the order's
// generation number. It checks the generation numbers that a model runner gets.
func runOrders(w *world) error {
	w.store.put("op/config", configuration(7))
	l := &orderLog{arrived: make(chan order, 100)}
	for i := range 8 {
		g := "decode"
		if i == 0 {
			g = "prefill"
		}
		s := &server{world: w, id: fmt.Sprintf("i-e%d", i), service: "llm", zone: "zone-a", version: "v1", slots: 24, stage: g, eventGap: 50 * time.Millisecond, events: 20}
		s.onOrder = func(s *server, holder string, fence int64, stage string) int {
			if n := l.add(order{server: s.id, holder: holder, stage: stage, fence: fence, at: time.Now()}); n > 1 {
				w.log("server %s: order of %s, generation number %d, stage %s: accepted", s.id, holder, fence, stage)
				return http.StatusAccepted
			}
			w.log("server %s: order of %s, generation number %d, stage %s: not answered, carried out 12 s later", s.id, holder, fence, stage)
			time.AfterFunc(12*time.Second, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.stage = stage
				s.orders++
			})
			return 0
		}
		if err := s.serve(); err != nil {
			return err
		}
	}
	for i := range 3 {
		if err := w.newHost(fmt.Sprintf("front-%d", i+1), "zone-a", 134).start(); err != nil {
			return err
		}
	}
	if err := w.waitReady(10 * time.Second); err != nil {
		return err
	}
	o, ok := l.next(w, 30*time.Second)
	if !ok {
		return errors.New("no order was given")
	}
	w.log("the store holds for it: %s", w.store.get("sardineknot/order/"+o.server))
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		w.log("drill: the store goes away")
		d := w.store.drill(time.Second, o.at.Add(-time.Second))
		w.log("drill: the store is back from a copy that is %.1f s old; it holds for the order: %q", d.Seconds(), w.store.get("sardineknot/order/"+o.server))
	}
	time.Sleep(500 * time.Millisecond)
	for _, h := range w.hosts {
		if h.name == o.holder {
			w.log("host %s is removed for good: SIGTERM", h.name)
			h.signal(syscall.SIGTERM)
		}
	}
	e := time.Now().Add(35 * time.Second)
	for time.Now().Before(e) {
		n, ok := l.next(w, time.Until(e))
		if ok && n.server == o.server && n.holder != o.holder {
			break
		}
	}
	l.check(w)
	return nil
}

func (l *orderLog) next(w *world, limit time.Duration) (order, bool) {
	select {
	case o := <-l.arrived:
		return o, true
	case <-time.After(limit):
	case <-w.ctx.Done():
	}
	return order{}, false
}

// check applies the rule ONE: no two holders with one generation number, no lower number
// after a higher one, and no turns within leaseTime. No host is paused and no link heals,
// so that no order is excused.
func (l *orderLog) check(w *world) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.log("%d orders arrived", len(l.list))
	for i, a := range l.list {
		for _, b := range l.list[i+1:] {
			switch {
			case a.server != b.server:
			case a.fence == b.fence && a.holder != b.holder:
				w.broken("ONE: %s got generation number %d from %s and, %.1f s later, from %s", a.server, a.fence, a.holder, b.at.Sub(a.at).Seconds(), b.holder)
			case a.holder != b.holder && b.at.Sub(a.at) < leaseTime:
				w.broken("ONE: %s got orders from %s and, %.1f s later, from %s", a.server, a.holder, b.at.Sub(a.at).Seconds(), b.holder)
			case b.fence < a.fence:
				w.broken("ONE: %s got generation number %d from %s after %d from %s", a.server, b.fence, b.holder, a.fence, a.holder)
			}
		}
	}
}
