package timed

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// driver runs a Scheduler with an explicit clock and records its decisions.
type driver struct {
	is *is.I
	// s is the scheduler under test.
	s *Scheduler
	// now is the time that is passed to s.
	now time.Time
	// servers are the arguments of the next call of SetServers.
	servers []sardineknot.BackendServer
	// prefill, decode and refused hold the last decision of each kind by job.
	prefill map[string]sardineknot.BackendServerName
	decode  map[string]sardineknot.BackendServerName
	refused map[string]sardineknot.Decision
	// order lists the jobs in the order in which their prefills started.
	order []string
}

// newDriver returns a driver with the given numbers of prefill and decode
// engines. slots is the number of slots of a decode engine.
func newDriver(t *testing.T, prefills, decodes, slots int) *driver {
	v := &driver{
		is:      is.New(t),
		s:       NewScheduler(),
		now:     time.Unix(1000, 0),
		prefill: make(map[string]sardineknot.BackendServerName),
		decode:  make(map[string]sardineknot.BackendServerName),
		refused: make(map[string]sardineknot.Decision),
	}
	for i := range prefills {
		v.servers = append(v.servers, server(i, "p", sardineknot.RolePrefill, 8))
	}
	for i := range decodes {
		v.servers = append(v.servers, server(i, "d", sardineknot.RoleDecode, slots))
	}
	v.setServers()
	return v
}

// server returns a backend server that is named by kind and index, in one of
// four zones.
func server(index int, kind string, role sardineknot.BackendRole, slots int) sardineknot.BackendServer {
	return sardineknot.BackendServer{
		Name:  sardineknot.BackendServerName(fmt.Sprintf("%s%d", kind, index)),
		Zone:  sardineknot.AvailabilityZone(fmt.Sprintf("z%d", index%4)),
		Role:  role,
		Slots: slots,
	}
}

func (v *driver) setServers(links ...sardineknot.Link) {
	v.recordDecisions(v.s.SetServers(v.now, v.servers, links))
}

// removeServer removes the named server.
func (v *driver) removeServer(name sardineknot.BackendServerName) {
	var l []sardineknot.BackendServer
	for _, s := range v.servers {
		if s.Name != name {
			l = append(l, s)
		}
	}
	v.servers = l
	v.setServers()
}

func (v *driver) recordDecisions(decisions []sardineknot.Decision) {
	for _, d := range decisions {
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

// job returns a job of account "a" with a deadline in the distant future.
func (v *driver) job(id string) sardineknot.Job {
	return sardineknot.Job{
		Key:                key(id),
		Work:               "w",
		PromptTokens:       1000,
		MaxTokens:          1000,
		FirstTokenDeadline: v.now.Add(10 * time.Minute),
		PerToken:           40 * time.Millisecond,
	}
}

func key(id string) sardineknot.RequestKey {
	return sardineknot.RequestKey{Account: "a", ID: sardineknot.RequestID(id)}
}

func (v *driver) submit(jobs ...sardineknot.Job) {
	for _, j := range jobs {
		v.recordDecisions(v.s.Submit(v.now, j))
	}
}

// report reports an event of job id. It has no effect if s does not hold the
// job.
func (v *driver) report(id string, kind sardineknot.JobEventKind, server sardineknot.BackendServerName, tokens int) {
	for _, j := range v.s.jobs {
		if string(j.Key.ID) == id {
			v.recordDecisions(v.s.Report(v.now, sardineknot.JobEvent{Key: j.Key, Kind: kind, Server: server, Tokens: tokens}))
			return
		}
	}
}

// wait advances the clock by duration and calls Wake at every recheckInterval.
func (v *driver) wait(duration time.Duration) {
	for e := v.now.Add(duration); v.now.Before(e); {
		v.now = v.now.Add(recheckInterval)
		v.recordDecisions(v.s.Wake(v.now))
	}
}

// generate reports the end of the prefill of job id, which must have started,
// and then the first token.
func (v *driver) generate(id string) {
	v.wait(100 * time.Millisecond)
	v.report(id, sardineknot.JobPrefillDone, v.prefill[id], 0)
	v.wait(30 * time.Millisecond)
	v.report(id, sardineknot.JobDecodeStarted, v.decode[id], 0)
}

// finish reports, after delay, that the answer of job id has ended with the
// given number of tokens. The job must have its first token.
func (v *driver) finish(id string, delay time.Duration, tokens int) {
	v.wait(delay)
	v.report(id, sardineknot.JobFinished, v.decode[id], tokens)
}

// learn establishes the estimates of the scheduler: it runs count jobs one
// after the other, each with an answer of 100 tokens at intervals of 30 ms.
func (v *driver) learn(count int) {
	for i := range count {
		k := fmt.Sprintf("learn%d", i)
		v.submit(v.job(k))
		v.generate(k)
		v.finish(k, 2970*time.Millisecond, 100)
	}
}

func (v *driver) prefilled(id string) bool { return v.prefill[id] != "" }

func (v *driver) decoded(id string) bool { return v.decode[id] != "" }

// checkEmpty checks that no job and no reservation is left.
func (v *driver) checkEmpty() {
	v.is.Equal(len(v.s.jobs), 0)
	v.is.Equal(len(v.s.pending), 0)
	v.is.Equal(len(v.s.byLatestStart), 0)
	v.is.Equal(v.s.queue.Len(), 0)
	for _, e := range v.s.engines {
		v.is.Equal(len(e.jobs), 0)
		v.is.Equal(e.memoryPieces, 0)
	}
}
