package twirp

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/slots"
)

const (
	// firstPause and maxPause bound the pause before an owner is asked again.
	firstPause = 20 * time.Millisecond
	maxPause   = time.Second
)

var errNoOwner = errors.New("no live entry host")

func (l *link) acquire(ctx context.Context, j sardineknot.Job) (g sardineknot.Grant, err error) {
	err = l.persist(ctx, j, func(ctx context.Context, v view, j sardineknot.Job) error {
		var e error
		g, e = l.acquireOnce(ctx, v, j)
		return e
	})
	return g, err
}

func (l *link) acquireOnce(ctx context.Context, v view, j sardineknot.Job) (sardineknot.Grant, error) {
	if v.local != nil {
		g, err := v.local.Acquire(ctx, j)
		l.observe(load(v.local))
		return g, err
	}
	b := l.take()
	p, err := l.client(v).Acquire(ctx, &rpc.AcquireRequest{Shard: l.name, Job: jobMessage(j, l.pool.Clock.Now()), Events: b.Events})
	if err != nil {
		l.putBack(v, b)
		l.pool.lost(ctx, v)
		return sardineknot.Grant{}, unavailable(v, err)
	}
	l.observe(p.GetLoad())
	g := sardineknot.Grant{
		Prefill: sardineknot.BackendServerName(p.GetPrefill()),
		Decode:  sardineknot.BackendServerName(p.GetDecode()),
	}
	return g, errors.WithStack(refusal(p.GetRefusal()))
}

func (l *link) prefillDone(ctx context.Context, j sardineknot.Job) (d sardineknot.BackendServerName, err error) {
	err = l.persist(ctx, j, func(ctx context.Context, v view, j sardineknot.Job) error {
		var e error
		d, e = l.prefillDoneOnce(ctx, v, j)
		return e
	})
	return d, err
}

func (l *link) prefillDoneOnce(ctx context.Context, v view, j sardineknot.Job) (sardineknot.BackendServerName, error) {
	if v.local != nil {
		return v.local.PrefillDone(ctx, j)
	}
	b := l.take()
	q := &rpc.PrefillDoneRequest{Shard: l.name, Job: jobMessage(j, l.pool.Clock.Now()), Prefill: string(l.prefill(j.Key)), Events: b.Events}
	p, err := l.client(v).PrefillDone(ctx, q)
	if err != nil {
		l.putBack(v, b)
		l.pool.lost(ctx, v)
		return "", unavailable(v, err)
	}
	l.observe(p.GetLoad())
	return sardineknot.BackendServerName(p.GetDecode()), errors.WithStack(refusal(p.GetRefusal()))
}

// persist calls ask with the owner of the shard and with j under the present
// incarnation of this host until it succeeds, the job is
// refused, or ctx is done. A call ends when the shard moves.
func (l *link) persist(ctx context.Context, j sardineknot.Job, ask func(context.Context, view, sardineknot.Job) error) error {
	for n := firstPause; ; n = min(2*n, maxPause) {
		v := l.view()
		j.OwnerIncarnation = l.pool.Members.Self().Incarnation
		err := errors.WithStack(&sardineknot.UnavailableError{Peer: "owner of " + l.name, Cause: errNoOwner})
		if v.ok {
			c, cancel := untilMoved(ctx, v)
			err = ask(c, v, j)
			cancel()
		}
		var f *sardineknot.NotRunError
		if err == nil || errors.As(err, &f) {
			return err
		}
		t := time.NewTimer(n)
		select {
		case <-v.moved:
			t.Stop()
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return errors.WithStack(ctx.Err())
		}
	}
}

func (l *link) prefill(k sardineknot.RequestKey) sardineknot.BackendServerName {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.held[k]; r != nil {
		return r.Grant.Prefill
	}
	return ""
}

func (l *link) client(v view) rpc.Slots {
	return rpc.NewSlotsProtobufClient("http://"+v.owner.PeerAddress.String(), l.pool.Client)
}

func unavailable(v view, err error) error {
	return errors.WithStack(&sardineknot.UnavailableError{Peer: string(v.owner.ID), Cause: err})
}
