package events

import (
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// checkAccepting fails with a LeavingError if the engine, which the attempt was
// granted, is leaving by now. An engine that is no longer known may still be
// used.
func (a *attempt) checkAccepting(engine sardineknot.BackendServer) error {
	b, err := a.findServer(engine.Name)
	if b.Born != engine.Born || !isLeaving(err) {
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

// returnGrant reports that the job does not use its engines because of err. If an
// engine is leaving, the owner of the shard learns it and grants the engine to no
// other job.
func (a *attempt) returnGrant(err error) {
	e := sardineknot.JobEvent{Key: a.job.Key, Kind: sardineknot.JobCancelled}
	var l *sardineknot.LeavingError
	if errors.As(err, &l) {
		e.Server, e.Born, e.Leaving = l.Server, l.Born, true
	}
	a.Slots.Report(a.job, e)
}

// isLeaving reports whether err is a LeavingError.
func isLeaving(err error) bool {
	var l *sardineknot.LeavingError
	return errors.As(err, &l)
}
