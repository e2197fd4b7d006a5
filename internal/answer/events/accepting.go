package events

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// findServer returns the backend server n if it accepts work from this host. It
// fails with a LeavingError if the server is leaving, with a BackedOffError if it
// has asked for no requests, and with an UnknownError if there is no such server.
func (s *session) findServer(n sardineknot.BackendServerName) (sardineknot.BackendServer, error) {
	b, ok := s.Source.Current().Server(n)
	if !ok {
		return sardineknot.BackendServer{}, errors.WithStack(&sardineknot.UnknownError{What: "BackendServer", Name: string(n)})
	}
	if b.State != sardineknot.BackendJoining {
		return b, errors.WithStack(&sardineknot.LeavingError{Server: n, Born: b.Born})
	}
	if d := s.Backoffs.Left(s.Clock.Now(), b); d > 0 {
		return b, errors.WithStack(&sardineknot.BackedOffError{Server: n, Left: d})
	}
	return b, nil
}

// checkAccepting fails if the engine, which the attempt was granted, accepts no
// work from this host by now, or no engine may get the request. An engine that is
// no longer known may still be used.
func (a *attempt) checkAccepting(engine sardineknot.BackendServer) error {
	err := a.Guard.Check(a.call)
	if err != nil {
		return err
	}
	b, err := a.findServer(engine.Name)
	if b.Born != engine.Born || !isNotSent(err) {
		return nil
	}
	return err
}

// allowPrefill fails unless a prefill may be sent to the prefill engine. A
// prefill after the first attempt costs retry budget, unless the earlier attempts
// sent nothing.
func (a *attempt) allowPrefill() error {
	err := a.checkAccepting(a.prefill)
	if err != nil {
		return err
	}
	a.mu.Lock()
	k := a.prefills > 0 || a.executions > 0
	a.prefills++
	a.mu.Unlock()
	if !k {
		return nil
	}
	return a.spendRetry()
}

// uncountPrefill takes back that allowPrefill has counted a prefill, which was not
// sent.
func (a *attempt) uncountPrefill() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.prefills--
}

// returnGrant reports that the job does not use its engines because of err. If an
// engine is leaving, the owner of the shard learns it and grants the engine to no
// other job. That an engine wants no requests is told with the next job.
func (a *attempt) returnGrant(err error) {
	e := sardineknot.JobEvent{Key: a.job.Key, Kind: sardineknot.JobCancelled}
	var l *sardineknot.LeavingError
	if errors.As(err, &l) {
		e.Server, e.Born, e.Leaving = l.Server, l.Born, true
	}
	a.Slots.Report(a.job, e)
}

// isNotSent reports whether err tells that nothing was sent to an engine because
// the engine accepts no work from this host.
func isNotSent(err error) bool {
	var l *sardineknot.LeavingError
	var b *sardineknot.BackedOffError
	return errors.As(err, &l) || errors.As(err, &b)
}

// poolBackoffs returns the engines of the pool that want no requests from this
// host.
func (s *session) poolBackoffs() []sardineknot.ServerBackoff {
	n := s.Clock.Now()
	if !s.Backoffs.Any(n) {
		return nil
	}
	var l []sardineknot.ServerBackoff
	for _, b := range s.Source.Current().AcceptingServers(s.pool()) {
		d := s.Backoffs.Left(n, b)
		if d > 0 {
			l = append(l, sardineknot.ServerBackoff{Server: b.Name, Until: n.Add(d)})
		}
	}
	return l
}

// checkPool fails with a NotRunError if no engine of the pool that could run the
// job accepts requests from this host at time now. A stream that has begun waits
// instead if an engine will accept requests within resumeTarget.
func (a *attempt) checkPool(now time.Time) error {
	if !a.Backoffs.Any(now) {
		return nil
	}
	var p, d []sardineknot.BackendServer
	for _, b := range a.Source.Current().AcceptingServers(a.job.Pool) {
		switch {
		case b.Role == sardineknot.RolePrefill:
			p = append(p, b)
		case a.job.SoftwareVersion == "" || a.job.SoftwareVersion == b.SoftwareVersion:
			d = append(d, b)
		}
	}
	_, w := a.Backoffs.Available(now, d)
	if a.job.PromptTokens > sardineknot.MaxLocalPrefillTokens {
		_, t := a.Backoffs.Available(now, p)
		w = max(w, t)
	}
	if w == 0 || a.hasBegun() && w <= resumeTarget {
		return nil
	}
	return errors.WithStack(a.Backoffs.Refusal(w))
}

// hasBegun reports whether the caller has the beginning of the answer, from this
// call or an earlier one.
func (a *attempt) hasBegun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.headerSent || a.job.Resumed
}

// backedOffAt reports whether the engine at address wants no requests from this
// host.
func (s *session) backedOffAt(address netip.AddrPort) bool {
	n := s.Clock.Now()
	if !s.Backoffs.Any(n) {
		return false
	}
	for _, b := range s.Source.Current().BackendServers {
		if b.Address == address && s.Backoffs.Left(n, b) > 0 {
			return true
		}
	}
	return false
}
