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
	// bytesPerToken is the assumed average length of a token, used to estimate
	// the length of a prompt.
	bytesPerToken = 4
	// prefixBlockBytes is the length of the blocks in which prompt prefixes are
	// hashed. It is about the size of one block of engine memory.
	prefixBlockBytes = 2000 * bytesPerToken
)

// runAttempt makes one attempt that continues from the tokens generated so far.
// It fails with errDeadline if no token arrives by the deadline.
func (n *run) runAttempt(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d := time.AfterFunc(n.deadline().Sub(n.Clock.Now()), func() { cancel(errDeadline) })
	defer d.Stop()
	a := n.newAttempt()
	a.ctx = ctx
	a.onFirstToken = func() { d.Stop() }
	g, err := n.Slots.Acquire(ctx, a.job)
	if err == nil {
		err = a.runBeside(ctx, g)
	}
	if err != nil && errors.Is(context.Cause(ctx), errDeadline) {
		return errors.WithStack(errDeadline)
	}
	return err
}

func (n *run) newAttempt() *attempt {
	s := n.Self()
	e := sardineknot.EngineRequest{
		Key:              n.request.Key,
		Attempt:          n.record.Attempt,
		Owner:            s.ID,
		OwnerIncarnation: s.Incarnation,
		Prompt:           n.request.Prompt,
		PreviousTokens:   n.buffer.Tokens(),
		MaxTokens:        n.request.MaxTokens,
		Priority:         n.request.Work.Priority,
	}
	return &attempt{run: n, job: n.newJob(e), engineRequest: e, index: n.index, left: make(chan struct{}), pauses: n.PauseDetector.Pauses(), onFirstToken: func() {}, canLeave: n.reserveRetry}
}

func (n *run) newJob(e sardineknot.EngineRequest) sardineknot.Job {
	q := n.request
	return sardineknot.Job{
		Key:                e.JobKey(),
		Pool:               sardineknot.EnginePoolName(q.Work.Model, q.Work.Version),
		Work:               q.Work.Name,
		Zone:               n.Self().Zone,
		PromptTokens:       1 + len(q.Prompt)/bytesPerToken + len(e.PreviousTokens),
		PrefixHashes:       hashPrefixes(q.Prompt),
		MaxTokens:          q.MaxTokens,
		Priority:           q.Work.Priority,
		FirstTokenDeadline: n.deadline(),
		PerToken:           q.Work.PerToken,
		Owner:              e.Owner,
		OwnerIncarnation:   e.OwnerIncarnation,
	}
}

// hashPrefixes returns a hash of every prefix of p that consists of whole
// blocks, shortest first.
func hashPrefixes(p string) []uint64 {
	h := fnv.New64a()
	var l []uint64
	for len(p) >= prefixBlockBytes {
		_, _ = io.WriteString(h, p[:prefixBlockBytes])
		l = append(l, h.Sum64())
		p = p[prefixBlockBytes:]
	}
	return l
}
