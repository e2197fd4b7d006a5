package generation

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// attempt is the state of one attempt of a run.
type attempt struct {
	*run
	job           sardineknot.Job
	engineRequest sardineknot.EngineRequest
	// server is the engine that was used last.
	server sardineknot.BackendServerName
	// usedServers lists the engines that may hold state of the attempt, in
	// order of use.
	usedServers []sardineknot.BackendServer
	// pauses is the number of pauses of this process at the start of the
	// attempt.
	pauses int
	// onFirstToken is called when the first token arrives. It is safe for
	// concurrent use.
	onFirstToken func()
	// canLeave reports whether another attempt may follow if this one fails. It
	// is safe for concurrent use.
	canLeave func() bool
	// index is the number of attempts before this one.
	index int
	// ctx is the context of the attempts beside this one. It is nil for an attempt
	// that is left before another one follows.
	ctx context.Context

	// left is closed when the attempts beside this one have ended after they have
	// replaced it.
	left chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// beside makes further attempts beside this one. It is nil if there are none.
	beside *beside
	// cancelDecode ends the decode. It is nil before the decode begins.
	cancelDecode context.CancelFunc
	// resumed is a stream that was resumed because its first token was late, or
	// nil.
	resumed sardineknot.TokenStream
}

// prefillAndDecode runs the prefill and the decode on the granted engines.
func (a *attempt) prefillAndDecode(ctx context.Context, g sardineknot.Grant) error {
	a.server = g.PrefillEngine
	k, err := a.prefill(ctx, g.PrefillEngine)
	if err != nil {
		return err
	}
	d, err := a.decodeServer(ctx, g)
	if err != nil {
		return err
	}
	return a.decode(ctx, d, k)
}

func (a *attempt) prefill(ctx context.Context, n sardineknot.BackendServerName) (sardineknot.KVCacheLocation, error) {
	s, err := a.useServer(n)
	if err != nil {
		return sardineknot.KVCacheLocation{}, err
	}
	return a.Engine.Prefill(ctx, s, a.engineRequest)
}

// decodeServer reports the end of the prefill and returns the engine to decode
// on. If the grant does not name a decode engine, decodeServer waits until the
// slot pool has chosen one.
func (a *attempt) decodeServer(ctx context.Context, g sardineknot.Grant) (sardineknot.BackendServerName, error) {
	if g.DecodeEngine == "" {
		return a.Slots.PrefillDone(ctx, a.job)
	}
	a.report(sardineknot.JobPrefillDone)
	return g.DecodeEngine, nil
}

// decode streams the answer of engine n to the buffer. It registers the engine
// with the directory while the decode starts, and reads the stream only after
// the registration. A decode without a first token within transferLimit is late.
func (a *attempt) decode(ctx context.Context, n sardineknot.BackendServerName, k sardineknot.KVCacheLocation) error {
	s, err := a.useServer(n)
	if err != nil {
		return err
	}
	a.record.DecodeEngine = n
	g := make(chan error, 1)
	go func() { g <- a.updateRecord(ctx) }()
	x, cancel := context.WithCancel(ctx)
	defer cancel()
	q := a.engineRequest
	w := time.AfterFunc(a.transferLimit(), func() { a.leaveLate(ctx, s, q) })
	defer w.Stop()
	a.mu.Lock()
	a.cancelDecode = cancel
	f := a.onFirstToken
	a.onFirstToken = func() {
		w.Stop()
		f()
	}
	a.mu.Unlock()
	c, err := a.Engine.Decode(x, s, q, k)
	e := <-g
	if e != nil {
		closeStream(c)
		return e
	}
	return a.streamTokens(ctx, s, c, err)
}

// leaveLate handles a first token that is late on s, if another attempt may follow.
// The connection may be lost, so the stream of request is resumed on another one.
// If the engine does not resume it, it may be busy, and other attempts are made
// beside it; an attempt that is itself beside another one ends.
func (a *attempt) leaveLate(ctx context.Context, s sardineknot.BackendServer, request sardineknot.EngineRequest) {
	if !a.canLeave() {
		return
	}
	o := a.buffer.Len()
	c, err := a.Engine.Resume(ctx, s, request, o)
	if err != nil && !a.isBeside() {
		a.startBeside()
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.buffer.Len() > o {
		closeStream(c)
		return
	}
	a.resumed = c
	a.cancelDecode()
}

// takeResumed returns the stream that leaveLate has resumed, or nil.
func (a *attempt) takeResumed() sardineknot.TokenStream {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.resumed
	a.resumed = nil
	return c
}

// transferLimit returns the time allowed for the transfer of the KV cache: half
// of the time left until the deadline of the attempt, so that another attempt
// remains possible, and at most maxTransferTime.
func (a *attempt) transferLimit() time.Duration {
	return min(a.job.FirstTokenDeadline.Sub(a.Clock.Now())/2, maxTransferTime)
}

// updateIncarnation sets the owner incarnation of the attempt to the current
// incarnation of this host. If the process was paused or the incarnation has
// changed, it first confirms with the directory that this host still produces
// the answer. The engine receives the new incarnation when the stream is
// resumed. If the engine kept the old one, which other hosts consider dead, the
// request would be cancelled as an orphan.
func (a *attempt) updateIncarnation(ctx context.Context) error {
	if a.PauseDetector.Pauses() != a.pauses || a.Self().Incarnation != a.engineRequest.OwnerIncarnation {
		err := a.confirmProducer(ctx)
		if err != nil {
			return err
		}
	}
	i := a.Self().Incarnation
	a.engineRequest.OwnerIncarnation = i
	a.job.OwnerIncarnation = i
	return nil
}

// useServer returns the backend server n and records that it may hold state of
// the attempt.
func (a *attempt) useServer(n sardineknot.BackendServerName) (sardineknot.BackendServer, error) {
	s, err := a.run.server(n)
	if err != nil {
		return s, err
	}
	a.server = n
	a.usedServers = append(a.usedServers, s)
	return s, nil
}

// finish reports the end of the attempt. If the attempt failed, finish also
// cancels the requests that it left on engines. A failure is reported at once.
// The slots of an abandoned attempt are returned only after its cancellations
// have completed or been given up.
func (a *attempt) finish(ctx context.Context, err error) {
	if err == nil {
		a.report(sardineknot.JobFinished)
		return
	}
	k := failureKind(ctx, err)
	if k == sardineknot.JobFailed {
		a.report(k)
	}
	var o *sardineknot.DeliveryTakenOverError
	c := a.PauseDetector.Pauses() != a.pauses || errors.As(err, &o)
	d := make(chan struct{}, len(a.usedServers))
	for _, s := range a.usedServers {
		a.Cancellations.Cancel(s, a.engineRequest.EngineRequestID(), c, func() { d <- struct{}{} })
	}
	if k == sardineknot.JobFailed {
		return
	}
	go func() {
		for range a.usedServers {
			<-d
		}
		a.report(k)
	}()
}

// failureKind returns JobFailed if err is a failure of the backend server, and
// JobCancelled if ctx is done or err has another cause.
func failureKind(ctx context.Context, err error) sardineknot.JobEventKind {
	var u *sardineknot.UnavailableError
	var f *sardineknot.RefusedError
	var i *sardineknot.InterruptedError
	if ctx.Err() != nil || !errors.As(err, &u) && !errors.As(err, &f) && !errors.As(err, &i) {
		return sardineknot.JobCancelled
	}
	return sardineknot.JobFailed
}

func (a *attempt) report(k sardineknot.JobEventKind) {
	a.Slots.Report(a.job, sardineknot.JobEvent{Key: a.job.Key, Kind: k, Server: a.server, Tokens: a.buffer.Len()})
}

// isInterrupted reports whether err means that the stream broke off, as opposed
// to being refused.
func isInterrupted(err error) bool {
	var i *sardineknot.InterruptedError
	var u *sardineknot.UnavailableError
	return errors.As(err, &i) || errors.As(err, &u)
}
