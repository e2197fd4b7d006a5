package generation

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// trial is one attempt.
type trial struct {
	*run
	job           sardineknot.Job
	engineRequest sardineknot.EngineRequest
	// server is the engine that worked last.
	server sardineknot.BackendServerName
	// touched lists the engines that may hold something, in order of use.
	touched []sardineknot.BackendServer
	// pauses is the number of pauses of this process before the trial.
	pauses int
	// started is called at the first token.
	started func()
}

// execute prefills and decodes.
func (t *trial) execute(ctx context.Context, g sardineknot.Grant) error {
	t.server = g.Prefill
	k, err := t.prefill(ctx, g.Prefill)
	if err != nil {
		return err
	}
	d, err := t.decodeServer(ctx, g)
	if err != nil {
		return err
	}
	return t.decode(ctx, d, k)
}

func (t *trial) prefill(ctx context.Context, n sardineknot.BackendServerName) (sardineknot.KVCache, error) {
	s, err := t.use(n)
	if err != nil {
		return sardineknot.KVCache{}, err
	}
	return t.Engine.Prefill(ctx, s, t.engineRequest)
}

// decodeServer reports the end of the prefill and returns the engine to
// decode on.
func (t *trial) decodeServer(ctx context.Context, g sardineknot.Grant) (sardineknot.BackendServerName, error) {
	if g.Decode == "" {
		return t.Slots.PrefillDone(ctx, t.job)
	}
	t.report(sardineknot.JobPrefillDone)
	return g.Decode, nil
}

// decode copies the answer of engine n to the buffer. The directory is told of
// the engine meanwhile. A decode whose transfer stalls breaks off.
func (t *trial) decode(ctx context.Context, n sardineknot.BackendServerName, k sardineknot.KVCache) error {
	s, err := t.use(n)
	if err != nil {
		return err
	}
	t.record.Decode = n
	g := make(chan error, 1)
	go func() { g <- t.register(ctx) }()
	x, cancel := context.WithCancel(ctx)
	defer cancel()
	w := time.AfterFunc(t.transferLimit(), cancel)
	f := t.started
	t.started = func() {
		w.Stop()
		f()
	}
	c, err := t.Engine.Decode(x, s, t.engineRequest, k)
	e := <-g
	if e != nil {
		if c != nil {
			c.Close()
		}
		return e
	}
	return t.follow(ctx, s, c, err)
}

// transferLimit returns the time for the transfer of the KV cache, which leaves
// time for another attempt.
func (t *trial) transferLimit() time.Duration {
	return min(t.job.Deadline.Sub(t.Clock.Now())/2, maxTransfer)
}

// follow copies the stream c, or deals with the error err of its opening. It
// resumes a stream that broke off as long as it makes progress.
func (t *trial) follow(ctx context.Context, s sardineknot.BackendServer, c sardineknot.TokenStream, err error) error {
	for r := 0; ; r++ {
		o := t.buffer.Len()
		if err == nil {
			err = t.pump(c)
		}
		if t.buffer.Len() > o {
			r = 0
		}
		if err == nil || ctx.Err() != nil || r >= maxResumes || !interrupted(err) {
			return err
		}
		t.Log.Warn().Stringer("event", sardineknot.LogStreamResumed).Str("request", t.job.Key.String()).Str("server", string(s.Name)).Err(err).Send()
		e := t.renew(ctx)
		if e != nil {
			return e
		}
		c, err = t.Engine.Resume(ctx, s, t.engineRequest, t.buffer.Len())
	}
}

// pump copies tokens from c to the buffer. It returns nil after the explicit
// end.
func (t *trial) pump(c sardineknot.TokenStream) error {
	defer c.Close()
	f := false
	for {
		k, err := c.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		err = t.buffer.Append(k)
		if err != nil {
			return err
		}
		if !f {
			f = true
			t.started()
			t.report(sardineknot.JobDecodeStarted)
		}
		if t.Self().Incarnation != t.engineRequest.OwnerIncarnation {
			return errors.WithStack(&sardineknot.InterruptedError{Offset: t.buffer.Len(), Reason: "this host has a new incarnation"})
		}
	}
}

// renew finds out, if this process was paused, whether it still produces the
// answer, and takes the present incarnation of this host. An engine learns of
// it when the stream is resumed; otherwise the request would be held for a dead
// host.
func (t *trial) renew(ctx context.Context) error {
	if t.Pulse.Pauses() != t.pauses || t.Self().Incarnation != t.engineRequest.OwnerIncarnation {
		err := t.confirm(ctx)
		if err != nil {
			return err
		}
	}
	i := t.Self().Incarnation
	t.engineRequest.OwnerIncarnation = i
	t.job.OwnerIncarnation = i
	return nil
}

// use returns the backend server n and notes that it may hold something.
func (t *trial) use(n sardineknot.BackendServerName) (sardineknot.BackendServer, error) {
	s, err := t.run.server(n)
	if err != nil {
		return s, err
	}
	t.server = n
	t.touched = append(t.touched, s)
	return s, nil
}

// finish reports the end of the trial and has cancelled what it left on
// engines. The slots of an abandoned trial are given back once they are free;
// a failure is reported at once.
func (t *trial) finish(ctx context.Context, err error) {
	if err == nil {
		t.report(sardineknot.JobFinished)
		return
	}
	k := failure(ctx, err)
	if k == sardineknot.JobFailed {
		t.report(k)
	}
	var o *sardineknot.DisplacedError
	c := t.Pulse.Pauses() != t.pauses || errors.As(err, &o)
	d := make(chan struct{}, len(t.touched))
	for _, s := range t.touched {
		t.Cancels.Cancel(s, t.engineRequest.EngineKey(), c, func() { d <- struct{}{} })
	}
	if k == sardineknot.JobFailed {
		return
	}
	go func() {
		for range t.touched {
			<-d
		}
		t.report(k)
	}()
}

// failure tells a job that was abandoned with ctx from one whose server failed.
func failure(ctx context.Context, err error) sardineknot.JobEventKind {
	var u *sardineknot.UnavailableError
	var f *sardineknot.RefusedError
	var i *sardineknot.InterruptedError
	if ctx.Err() != nil || !errors.As(err, &u) && !errors.As(err, &f) && !errors.As(err, &i) {
		return sardineknot.JobCancelled
	}
	return sardineknot.JobFailed
}

func (t *trial) report(k sardineknot.JobEventKind) {
	t.Slots.Report(t.job, sardineknot.JobEvent{Key: t.job.Key, Kind: k, Server: t.server, Tokens: t.buffer.Len()})
}

// interrupted reports whether the stream broke off, rather than was refused.
func interrupted(err error) bool {
	var i *sardineknot.InterruptedError
	var u *sardineknot.UnavailableError
	return errors.As(err, &i) || errors.As(err, &u)
}
