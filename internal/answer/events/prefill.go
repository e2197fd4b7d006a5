package events

import (
	"context"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// runPrefill has the prefill engine compute the KV cache of the prompt, unless
// it is also the decode engine or the KV cache of an earlier attempt can be
// reused.
func (a *attempt) runPrefill() error {
	if a.reuseCache() {
		a.prefilled = true
		a.report(sardineknot.JobPrefillDone, a.prefill.Name)
		return nil
	}
	if a.prefill.Name == a.decode.Name {
		return nil
	}
	err := a.allowPrefill()
	if err != nil {
		a.returnGrant(err)
		return err
	}
	k, err := a.sendPrefill()
	if isNotSent(err) {
		a.uncountPrefill()
	}
	var r *sardineknot.NotRunError
	if isNotSent(err) || errors.As(err, &r) {
		a.returnGrant(err)
		return err
	}
	if err != nil {
		a.recordPrefillFailure(err)
		a.reportFailure(err, a.prefill.Name)
		return err
	}
	n := a.Clock.Now()
	a.Paces.RecordPrefill(n, a.job.Pool, n.Sub(a.sentAt))
	a.cache, a.prefilled = promptCache{KVCacheReference: k, createdAt: n}, true
	a.setCachedOn(a.prefill.Name)
	a.report(sardineknot.JobPrefillDone, a.prefill.Name)
	return nil
}

// sendPrefill has the prefill engine compute the KV cache. It fails with a NotRunError if the stream
// may not end any more before the host has stopped.
func (a *attempt) sendPrefill() (sardineknot.KVCacheReference, error) {
	ctx, cancel := a.limitByStop(a.ctx)
	defer cancel()
	t, stop := context.WithTimeout(ctx, prefillTimeout)
	defer stop()
	a.stage, a.sentAt = stagePrefill, a.Clock.Now()
	k, err := a.Forwarder.Prefill(t, a.prefill, a.call, a.call.Deadline)
	if e := a.stopError(ctx); err != nil && !isNotSent(err) && e != nil {
		return k, e
	}
	return k, err
}
