package timed

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// driver runs a Scheduler with an explicit clock and keeps what it decided.
type driver struct {
	is  *is.I
	s   *Scheduler
	now time.Time
	// servers are those last set.
	servers []sardineknot.BackendServer
	// prefill, decode and refused hold the last decision about each job.
	prefill map[string]sardineknot.BackendServerName
	decode  map[string]sardineknot.BackendServerName
	refused map[string]sardineknot.Decision
	// order lists the jobs in the order in which their prefills began.
	order []string
}

// newDriver returns a driver with p prefill and d decode engines that have
// slots each.
func newDriver(t *testing.T, p, d, slots int) *driver {
	v := &driver{
		is:      is.New(t),
		s:       NewScheduler(),
		now:     time.Unix(1000, 0),
		prefill: make(map[string]sardineknot.BackendServerName),
		decode:  make(map[string]sardineknot.BackendServerName),
		refused: make(map[string]sardineknot.Decision),
	}
	for i := range p {
		v.servers = append(v.servers, server(i, "p", sardineknot.RolePrefill, 8))
	}
	for i := range d {
		v.servers = append(v.servers, server(i, "d", sardineknot.RoleDecode, slots))
	}
	v.setServers()
	return v
}

func server(i int, kind string, role sardineknot.BackendRole, slots int) sardineknot.BackendServer {
	return sardineknot.BackendServer{
		Name:  sardineknot.BackendServerName(fmt.Sprintf("%s%d", kind, i)),
		Zone:  sardineknot.AvailabilityZone(fmt.Sprintf("z%d", i%4)),
		Role:  role,
		Slots: slots,
	}
}

func (v *driver) setServers(l ...sardineknot.Link) { v.take(v.s.SetServers(v.now, v.servers, l)) }

// without removes server n.
func (v *driver) without(n sardineknot.BackendServerName) {
	var l []sardineknot.BackendServer
	for _, s := range v.servers {
		if s.Name != n {
			l = append(l, s)
		}
	}
	v.servers = l
	v.setServers()
}

func (v *driver) take(l []sardineknot.Decision) {
	for _, d := range l {
		k := string(d.Key.ID)
		switch d.Action {
		case sardineknot.ActionPrefill:
			v.prefill[k] = d.Server
			v.order = append(v.order, k)
		case sardineknot.ActionDecode:
			v.decode[k] = d.Server
		case sardineknot.ActionRefuse:
			v.refused[k] = d
		}
	}
}

// job returns a job of account "a" that has time.
func (v *driver) job(id string) sardineknot.Job {
	return sardineknot.Job{
		Key:          key(id),
		Work:         "w",
		PromptTokens: 1000,
		MaxTokens:    1000,
		Deadline:     v.now.Add(10 * time.Minute),
		PerToken:     40 * time.Millisecond,
	}
}

func key(id string) sardineknot.RequestKey {
	return sardineknot.RequestKey{Account: "a", ID: sardineknot.RequestID(id)}
}

func (v *driver) submit(l ...sardineknot.Job) {
	for _, j := range l {
		v.take(v.s.Submit(v.now, j))
	}
}

func (v *driver) report(id string, k sardineknot.JobEventKind, n sardineknot.BackendServerName, tokens int) {
	for _, j := range v.s.jobs {
		if string(j.Key.ID) == id {
			v.take(v.s.Report(v.now, sardineknot.JobEvent{Key: j.Key, Kind: k, Server: n, Tokens: tokens}))
			return
		}
	}
}

// wait lets d pass with wakes every 10 ms.
func (v *driver) wait(d time.Duration) {
	for e := v.now.Add(d); v.now.Before(e); {
		v.now = v.now.Add(recheck)
		v.take(v.s.Wake(v.now))
	}
}

// generate takes job id, which has begun its prefill, up to its first token.
func (v *driver) generate(id string) {
	v.wait(100 * time.Millisecond)
	v.report(id, sardineknot.JobPrefillDone, v.prefill[id], 0)
	v.wait(30 * time.Millisecond)
	v.report(id, sardineknot.JobDecodeStarted, v.decode[id], 0)
}

// finish ends job id, which has its first token, after d.
func (v *driver) finish(id string, d time.Duration, tokens int) {
	v.wait(d)
	v.report(id, sardineknot.JobFinished, v.decode[id], tokens)
}

// learn runs n jobs with answers of 100 tokens at 30 ms one after the other.
func (v *driver) learn(n int) {
	for i := range n {
		k := fmt.Sprintf("learn%d", i)
		v.submit(v.job(k))
		v.generate(k)
		v.finish(k, 2970*time.Millisecond, 100)
	}
}

func (v *driver) prefilled(id string) bool { return v.prefill[id] != "" }

func (v *driver) decoded(id string) bool { return v.decode[id] != "" }

// empty checks that nothing is held any more.
func (v *driver) empty() {
	v.is.Equal(len(v.s.jobs), 0)
	v.is.Equal(len(v.s.pending), 0)
	v.is.Equal(len(v.s.latest), 0)
	v.is.Equal(v.s.queue.Len(), 0)
	for _, e := range v.s.engines {
		v.is.Equal(len(e.jobs), 0)
		v.is.Equal(e.pieces, 0)
	}
}
