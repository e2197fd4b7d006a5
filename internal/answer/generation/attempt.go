package generation

import (
	"context"
	"hash/fnv"
	"io"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// bytesPerToken estimates the length of a prompt in tokens.
	bytesPerToken = 4
	// prefixBytes is the length of the pieces that prefixes are hashed in. It
	// is about one piece of engine memory.
	prefixBytes = 2000 * bytesPerToken
)

// attempt runs the request once, from the tokens that exist. It ends when no
// token is there by the deadline.
func (n *run) attempt(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d := time.AfterFunc(n.deadline().Sub(n.Clock.Now()), func() { cancel(errDeadline) })
	defer d.Stop()
	t := n.trial()
	t.started = func() { d.Stop() }
	g, err := n.Slots.Acquire(ctx, t.job)
	if err == nil {
		err = t.execute(ctx, g)
		n.used = n.used || len(t.touched) > 0
		t.finish(ctx, err)
	}
	if err != nil && errors.Is(context.Cause(ctx), errDeadline) {
		return errors.WithStack(errDeadline)
	}
	return err
}

func (n *run) trial() *trial {
	s := n.Self()
	e := sardineknot.EngineRequest{
		Key:              n.request.Key,
		Attempt:          n.record.Attempt,
		Owner:            s.ID,
		OwnerIncarnation: s.Incarnation,
		Prompt:           n.request.Prompt,
		Prior:            n.buffer.Tokens(),
		MaxTokens:        n.request.MaxTokens,
		Priority:         n.request.Work.Priority,
	}
	return &trial{run: n, job: n.job(e), engineRequest: e, pauses: n.Pulse.Pauses(), started: func() {}}
}

func (n *run) job(e sardineknot.EngineRequest) sardineknot.Job {
	q := n.request
	return sardineknot.Job{
		Key:              e.JobKey(),
		Pool:             sardineknot.EnginePool(q.Work.Model, q.Work.Version),
		Work:             q.Work.Name,
		Zone:             n.Self().Zone,
		PromptTokens:     1 + len(q.Prompt)/bytesPerToken + len(e.Prior),
		Prefixes:         prefixes(q.Prompt),
		MaxTokens:        q.MaxTokens,
		Priority:         q.Work.Priority,
		Deadline:         n.deadline(),
		PerToken:         q.Work.PerToken,
		Owner:            e.Owner,
		OwnerIncarnation: e.OwnerIncarnation,
	}
}

// prefixes returns a hash of every leading piece of p, shortest first.
func prefixes(p string) []uint64 {
	h := fnv.New64a()
	var l []uint64
	for len(p) >= prefixBytes {
		_, _ = io.WriteString(h, p[:prefixBytes])
		l = append(l, h.Sum64())
		p = p[prefixBytes:]
	}
	return l
}
