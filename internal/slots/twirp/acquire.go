package twirp

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/slots"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay before a failed request
	// is retried. The delay doubles with each failure.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

var errNoOwner = errors.New("no live entry host")

func (l *shardLink) acquire(ctx context.Context, job sardineknot.Job) (grant sardineknot.Grant, err error) {
	err = l.callUntilDecided(ctx, job, func(ctx context.Context, owner shardOwner, job sardineknot.Job) error {
		var e error
		grant, e = l.acquireOnce(ctx, owner, job)
		return e
	})
	return grant, err
}

func (l *shardLink) acquireOnce(ctx context.Context, owner shardOwner, job sardineknot.Job) (sardineknot.Grant, error) {
	if owner.local != nil {
		g, err := owner.local.Acquire(ctx, job)
		l.setLoad(loadMessage(owner.local))
		return g, err
	}
	b := l.takeEvents()
	p, err := l.client(owner).Acquire(ctx, &rpc.AcquireRequest{Shard: l.name, Job: jobMessage(job, l.pool.Clock.Now()), Events: b.Events})
	if err != nil {
		l.requeue(owner, b)
		l.pool.reportUnreachable(ctx, owner)
		return sardineknot.Grant{}, newUnavailableError(owner, err)
	}
	l.setLoad(p.GetLoad())
	g := sardineknot.Grant{
		PrefillEngine: sardineknot.BackendServerName(p.GetPrefill()),
		DecodeEngine:  sardineknot.BackendServerName(p.GetDecode()),
	}
	return g, errors.WithStack(refusalFromMessage(p.GetRefusal()))
}

func (l *shardLink) prefillDone(ctx context.Context, job sardineknot.Job) (server sardineknot.BackendServerName, err error) {
	err = l.callUntilDecided(ctx, job, func(ctx context.Context, owner shardOwner, job sardineknot.Job) error {
		var e error
		server, e = l.prefillDoneOnce(ctx, owner, job)
		return e
	})
	return server, err
}

func (l *shardLink) prefillDoneOnce(ctx context.Context, owner shardOwner, job sardineknot.Job) (sardineknot.BackendServerName, error) {
	if owner.local != nil {
		return owner.local.PrefillDone(ctx, job)
	}
	b := l.takeEvents()
	q := &rpc.PrefillDoneRequest{Shard: l.name, Job: jobMessage(job, l.pool.Clock.Now()), Prefill: string(l.prefillEngine(job.Key)), Events: b.Events}
	p, err := l.client(owner).PrefillDone(ctx, q)
	if err != nil {
		l.requeue(owner, b)
		l.pool.reportUnreachable(ctx, owner)
		return "", newUnavailableError(owner, err)
	}
	l.setLoad(p.GetLoad())
	return sardineknot.BackendServerName(p.GetDecode()), errors.WithStack(refusalFromMessage(p.GetRefusal()))
}

// callUntilDecided repeats call until it succeeds, the job is refused, or ctx
// is done. It passes the current owner of the shard, and job with the current
// incarnation of this host. When the owner or this incarnation changes, the
// call is cancelled and repeated at once.
func (l *shardLink) callUntilDecided(ctx context.Context, job sardineknot.Job, call func(context.Context, shardOwner, sardineknot.Job) error) error {
	for n := minRetryDelay; ; n = min(2*n, maxRetryDelay) {
		o := l.shardOwner()
		job.OwnerIncarnation = l.pool.Members.Self().Incarnation
		err := errors.WithStack(&sardineknot.UnavailableError{Peer: "owner of " + l.name, Cause: errNoOwner})
		if o.ok {
			c, cancel := untilMoved(ctx, o)
			err = call(c, o, job)
			cancel()
		}
		var f *sardineknot.NotRunError
		if err == nil || errors.As(err, &f) {
			return err
		}
		t := time.NewTimer(n)
		select {
		case <-o.moved:
			t.Stop()
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return errors.WithStack(ctx.Err())
		}
	}
}

func (l *shardLink) prefillEngine(key sardineknot.RequestKey) sardineknot.BackendServerName {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.jobs[key]; r != nil {
		return r.Grant.PrefillEngine
	}
	return ""
}

func (l *shardLink) client(owner shardOwner) rpc.Slots {
	return rpc.NewSlotsProtobufClient("http://"+owner.host.PeerAddress.String(), l.pool.Client)
}

func newUnavailableError(owner shardOwner, err error) error {
	return errors.WithStack(&sardineknot.UnavailableError{Peer: string(owner.host.ID), Cause: err})
}
