//go:build review

package harness2

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["reborn"] = playReborn }

const (
	// rebornRounds is the number of rounds of the case.
	rebornRounds = 20
	// rebornPause is the time that a runner takes for the second half of an answer.
	rebornPause = 200 * time.Millisecond
	// killAfter, startAfter and healAfter are the times from the cut on at which the runner is
	// killed, starts again and is reached again.
	killAfter  = 50 * time.Millisecond
	startAfter = 350 * time.Millisecond
	healAfter  = 400 * time.Millisecond
)

// playReborn cuts a runner off in the middle of its answer. The process ends behind the cut and
// starts again under its name, and the cut heals.
func playReborn(w *world) (bool, error) {
	var l []*runner
	for i := range 3 {
		r, err := w.addRunner(fmt.Sprintf("i-app%d", i), "app", rebornPause)
		if err != nil {
			return false, err
		}
		l = append(l, r)
	}
	w.configure([]any{plainRoute("r-entry", "/entry/", "unsafe", 1)}, []any{plainService})
	for range 2 {
		if _, err := w.addHost("reykjavik-a"); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	b := 0
	for i := range rebornRounds {
		if w.rebornRound(l, fmt.Sprintf("%016x", 0xabc0+i), w.hosts[i%len(w.hosts)]) {
			b++
		}
		time.Sleep(2037 * time.Millisecond)
	}
	w.record("%d of %d answers were cut short and looked whole", b, rebornRounds)
	return b > 0, nil
}

// rebornRound plays one request and reports whether the client got a part of the answer as a
// whole one.
func (w *world) rebornRound(runners []*runner, id string, h *host) bool {
	c := make(chan answer, 1)
	go func() {
		c <- send(h.caller, request{id: id, method: http.MethodPost, path: "/entry/2f", body: "entry " + id, deadline: 1500 * time.Millisecond})
	}()
	var r *runner
	select {
	case <-runners[0].halves:
		r = runners[0]
	case <-runners[1].halves:
		r = runners[1]
	case <-runners[2].halves:
		r = runners[2]
	case a := <-c:
		w.record("%s at %s: no runner began: status %d %v", id, h.name, a.status, a.err)
		return false
	}
	time.Sleep(20 * time.Millisecond) // the first half reaches the host
	if w.trouble {
		w.reborn(r)
	}
	a := <-c
	w.record("%s at %s, run by %s: status %d, %s, whole by its framing: %v, error %v", id, h.name, r.settings.ID, a.status, short(a.body), a.whole, a.err)
	return a.status == http.StatusOK && a.whole && a.body != answerOf(id)
}

// reborn cuts r off, from the hosts and from the store, and has its process start again meanwhile.
func (w *world) reborn(r *runner) {
	r.calls.setCut(true)
	b := time.Now()
	time.Sleep(time.Until(b.Add(killAfter)))
	r.kill()
	time.Sleep(time.Until(b.Add(startAfter)))
	err := r.start()
	w.record("%s was cut off, killed and started again: %v", r.settings.ID, err)
	time.Sleep(time.Until(b.Add(healAfter)))
	r.calls.setCut(false)
}
