package generation

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// silentStream is implemented by streams that report a silence of their engine.
type silentStream interface {
	// Silent reports whether the last call of Next failed only because no event
	// arrived in time. Next may then be called again.
	Silent() bool
}

// isSilent reports whether c is open and its engine is silent. c may be nil.
func isSilent(c sardineknot.TokenStream) bool {
	s, ok := c.(silentStream)
	return ok && s.Silent()
}

// streamTokens copies the stream c to the buffer and closes it. err is the
// error of opening c, or nil. An interrupted stream is resumed until givesUp
// reports true. If a silent engine does not resume the stream, c stays open,
// since the engine may go on; the further wait for c counts as one of the
// resumptions.
func (a *attempt) streamTokens(ctx context.Context, s sardineknot.BackendServer, c sardineknot.TokenStream, err error) error {
	defer func() { closeStream(c) }()
	d := a.deadline()
	for r := 0; ; r++ {
		o := a.buffer.Len()
		if err == nil {
			err = a.copyTokens(ctx, c)
		}
		if a.buffer.Len() > o {
			r = 0
			d = a.deadline()
		}
		if a.replaced() {
			return errors.WithStack(errReplaced)
		}
		if err == nil || ctx.Err() != nil || a.givesUp(c, err, r, d) {
			return err
		}
		a.Log.Warn().Stringer("event", sardineknot.LogStreamResumed).Str("request", a.job.Key.String()).Str("server", string(s.Name)).Err(err).Send()
		e := a.updateIncarnation(ctx)
		if e != nil {
			return e
		}
		n, e := a.resume(ctx, s)
		if e != nil && isSilent(c) {
			err = nil
			r++
			continue
		}
		closeStream(c)
		c, err = n, e
	}
}

// resume resumes the stream on s after the tokens that the buffer has.
func (a *attempt) resume(ctx context.Context, s sardineknot.BackendServer) (sardineknot.TokenStream, error) {
	c := a.takeResumed()
	if c != nil {
		return c, nil
	}
	return a.Engine.Resume(ctx, s, a.engineRequest, a.buffer.Len())
}

// givesUp reports whether the attempt ends with err, after a number of resumes of
// the stream c without progress. A stream that was not interrupted is not
// resumed. If the engine is silent, the attempt goes on until the next token is due,
// beside others if any may follow.
func (a *attempt) givesUp(c sardineknot.TokenStream, err error, resumes int, due time.Time) bool {
	if !isInterrupted(err) {
		return true
	}
	if resumes < maxResumes {
		return false
	}
	if !isSilent(c) || !a.Clock.Now().Before(due) {
		return true
	}
	if a.ctx == nil || a.isBeside() {
		return a.canLeave()
	}
	a.startBeside()
	return false
}

// closeStream closes c, which may be nil.
func closeStream(c sardineknot.TokenStream) {
	if c != nil {
		c.Close()
	}
}

// copyTokens copies tokens from c to the buffer. It returns nil after the
// explicit end of the stream, and an InterruptedError if this host has
// meanwhile got a new incarnation.
func (a *attempt) copyTokens(ctx context.Context, c sardineknot.TokenStream) error {
	f := false
	for {
		k, err := c.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		o, err := a.claimToken(ctx)
		if err != nil {
			return err
		}
		if !o {
			return errors.WithStack(errReplaced)
		}
		err = a.buffer.Append(k)
		if err != nil {
			return err
		}
		if !f {
			f = true
			a.onFirstToken()
			a.report(sardineknot.JobDecodeStarted)
		}
		if a.Self().Incarnation != a.engineRequest.OwnerIncarnation {
			return errors.WithStack(&sardineknot.InterruptedError{Offset: a.buffer.Len(), Reason: "this host has a new incarnation"})
		}
	}
}
