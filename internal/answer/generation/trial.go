package generation

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/buffer"
)

// trial is one attempt that was granted engines.
type trial struct {
	runner  *Runner
	job     sardineknot.Job
	request sardineknot.EngineRequest
	// server is the engine that worked last.
	server sardineknot.BackendServerName
	// touched lists the engines that may hold something, in order of use.
	touched []sardineknot.BackendServer
}

// run prefills and decodes.
func (t *trial) run(ctx context.Context, g sardineknot.Grant, b *buffer.Buffer) error {
	k, err := t.prefill(ctx, g.Prefill)
	if err != nil {
		return err
	}
	d, err := t.decodeServer(ctx, g)
	if err != nil {
		return err
	}
	return t.decode(ctx, d, k, b)
}

func (t *trial) prefill(ctx context.Context, n sardineknot.BackendServerName) (sardineknot.KVCache, error) {
	s, err := t.use(n)
	if err != nil {
		return sardineknot.KVCache{}, err
	}
	return t.runner.Engine.Prefill(ctx, s, t.request)
}

// decodeServer reports the end of the prefill and returns the engine to
// decode on.
func (t *trial) decodeServer(ctx context.Context, g sardineknot.Grant) (sardineknot.BackendServerName, error) {
	if g.Decode == "" {
		return t.runner.Slots.PrefillDone(ctx, t.job)
	}
	t.report(sardineknot.JobPrefillDone, 0)
	return g.Decode, nil
}

// decode copies the answer of engine n to b. It resumes a stream that broke
// off as long as it makes progress.
func (t *trial) decode(ctx context.Context, n sardineknot.BackendServerName, k sardineknot.KVCache, b *buffer.Buffer) error {
	s, err := t.use(n)
	if err != nil {
		return err
	}
	c, err := t.runner.Engine.Decode(ctx, s, t.request, k)
	for r := 0; ; r++ {
		o := len(b.Tokens())
		if err == nil {
			err = t.pump(c, b)
		}
		if len(b.Tokens()) > o {
			r = 0
		}
		if err == nil || ctx.Err() != nil || r >= maxResumes || !interrupted(err) {
			return err
		}
		t.runner.Log.Warn().Str("event", "stream_resumed").Str("request", t.job.Key.String()).Str("server", string(n)).Err(err).Send()
		c, err = t.runner.Engine.Resume(ctx, s, t.request, len(b.Tokens()))
	}
}

// pump copies tokens from c to b. It returns nil after the explicit end.
func (t *trial) pump(c sardineknot.TokenStream, b *buffer.Buffer) error {
	defer c.Close()
	for {
		k, err := c.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		err = b.Append(k)
		if err != nil {
			return err
		}
		if k.Index == len(t.request.Prior) {
			t.report(sardineknot.JobDecodeStarted, k.Index)
		}
	}
}

// use returns the backend server n and notes that it may hold something.
func (t *trial) use(n sardineknot.BackendServerName) (sardineknot.BackendServer, error) {
	s, err := t.runner.server(n)
	if err != nil {
		return s, err
	}
	t.server = n
	t.touched = append(t.touched, s)
	return s, nil
}

// finish reports the end of the trial. What a failed trial left on engines is
// freed first, so that its slot is not granted again while it is held.
func (t *trial) finish(err error, tokens int) {
	if err == nil {
		t.report(sardineknot.JobFinished, tokens)
		return
	}
	go func() {
		for _, s := range t.touched {
			t.runner.cancel(s, t.request.EngineKey())
		}
		t.report(failure(err), tokens)
	}()
}

// failure tells an abandoned job from one whose server failed.
func failure(err error) sardineknot.JobEventKind {
	var u *sardineknot.UnavailableError
	var f *sardineknot.RefusedError
	var i *sardineknot.InterruptedError
	if errors.Is(err, context.Canceled) || !errors.As(err, &u) && !errors.As(err, &f) && !errors.As(err, &i) {
		return sardineknot.JobCancelled
	}
	return sardineknot.JobFailed
}

func (t *trial) report(k sardineknot.JobEventKind, tokens int) {
	e := sardineknot.JobEvent{Key: t.job.Key, Kind: k, Server: t.server, Tokens: tokens}
	t.runner.Slots.Report(t.job, e)
}

// interrupted reports whether the stream broke off, rather than was refused.
func interrupted(err error) bool {
	var i *sardineknot.InterruptedError
	var u *sardineknot.UnavailableError
	return errors.As(err, &i) || errors.As(err, &u)
}
