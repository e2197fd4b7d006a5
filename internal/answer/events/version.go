package events

import (
	"slices"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// findVersion finds the software version that began a resumed stream, and the service at
// which it goes on. It fails with a NotRunError if the version is unknown: another one
// could not continue the stream.
func (s *session) findVersion() error {
	g := s.call.Generation
	if g.ResumeAfter == 0 {
		return nil
	}
	v, n, ok := s.Versions.Find(s.ctx, g.Origin, s.call.Route, s.call.Service)
	if !ok {
		return errors.WithStack(&sardineknot.NotRunError{Reason: "the software version that began the stream is unknown", RetryAfter: failureRetryAfter})
	}
	s.version, s.call.Service = v, n
	return nil
}

// withheldEngines returns the decode engines on which a new stream should not begin yet,
// because of their software version.
func (s *session) withheldEngines() []sardineknot.ServerBackoff {
	if s.version != "" || s.call.Generation.ResumeAfter > 0 || !s.call.Route.Resumable {
		return nil
	}
	v, u := s.Versions.Withheld(s.call.Service)
	if len(v) == 0 {
		return nil
	}
	var l []sardineknot.ServerBackoff
	for _, b := range s.Source.Current().AcceptingServers(s.pool()) {
		if b.Role != sardineknot.RolePrefill && slices.Contains(v, b.SoftwareVersion) {
			l = append(l, sardineknot.ServerBackoff{Server: b.Name, Until: u})
		}
	}
	return l
}

// announceVersion announces the software version of the first engine that is granted to a
// new stream, before that engine gets the request: a caller that has the first event may
// return after all hosts were lost.
func (a *attempt) announceVersion() {
	v := a.decode.SoftwareVersion
	a.mu.Lock()
	k := a.announced == "" && a.call.Generation.ResumeAfter == 0
	if k {
		a.announced = v
	}
	a.mu.Unlock()
	if k && v != "" && a.call.ID != "" {
		a.Versions.Announce(a.call.ID, v)
	}
}

// confirmVersion is called before the first event of the answer is relayed. If another
// software version than that of the engine was announced, it fails unless the stream is sure
// not to count as begun by that one.
func (a *attempt) confirmVersion() error {
	a.mu.Lock()
	k := a.announced == "" || a.announced == a.decode.SoftwareVersion
	a.mu.Unlock()
	if k || !a.lastEventAt.IsZero() {
		return nil
	}
	return a.Versions.Confirm(a.ctx, a.call.ID, a.decode.SoftwareVersion)
}

// recordVersion records the software version of the engine that begins the
// stream, or that goes on with a resumed one.
func (a *attempt) recordVersion() {
	n := a.call.ID
	if a.call.Generation.ResumeAfter > 0 {
		n = a.call.Generation.Origin
	}
	if n != "" {
		a.Versions.Record(n, a.decode.SoftwareVersion)
	}
}

// checkVersion fails with a NotRunError if the decode engine must not continue
// the stream.
func (a *attempt) checkVersion() error {
	if a.job.SoftwareVersion == "" || a.job.SoftwareVersion == a.decode.SoftwareVersion {
		return nil
	}
	return errors.WithStack(&sardineknot.NotRunError{Reason: "the granted engine has another software version", RetryAfter: failureRetryAfter})
}
