package generation

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// errReplaced is the error of an attempt that has ended because an attempt beside
// it had the next token first.
var errReplaced = errors.New("another attempt has the next token")

// errNotNeeded is the cancellation cause of attempts beside one whose engine has
// gone on.
var errNotNeeded = errors.New("the silent engine has gone on")

// beside runs further attempts beside one whose engine is silent or late. The one
// that has the next token first goes on, and the other one ends: a late answer is
// better than none, and an attempt that is allowed may fail or be as late.
type beside struct {
	run    *run
	cancel context.CancelCauseFunc
	// onReplaced is called when the attempts beside have the next token.
	onReplaced func()
	// done is closed when they have ended, with err then.
	done chan struct{}
	err  error

	mu sync.Mutex
	// replaced is set once they have the next token, and woke once the other
	// attempt has it. At most one of them is set.
	replaced, woke bool
}

// claim reports whether the attempts beside may go on with the next token.
func (b *beside) claim() bool {
	b.mu.Lock()
	k := b.replaced
	b.replaced = !b.woke
	r := b.replaced
	b.mu.Unlock()
	if r && !k {
		b.onReplaced()
	}
	return r
}

// wake reports whether the other attempt may go on with the next token.
func (b *beside) wake() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.woke = !b.replaced
	return b.woke
}

func (b *beside) isReplaced() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.replaced
}

// isBeside reports whether a is made beside another attempt that may still go on.
func (a *attempt) isBeside() bool { return a.run.outer != nil && !a.run.outer.isReplaced() }

// startBeside starts attempts beside a if one may follow a. It has no effect if
// they have been started, or if a is itself beside another attempt.
func (a *attempt) startBeside() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.beside != nil || a.isBeside() || !a.canLeave() {
		return
	}
	n := a.run
	m := &run{Runner: n.Runner, request: n.request, buffer: n.buffer, offset: n.offset, record: n.record, index: n.index + 1}
	m.record.Attempt = a.engineRequest.Attempt + m.index - a.index
	m.record.DecodeEngine = ""
	ctx, cancel := context.WithCancelCause(a.ctx)
	b := &beside{run: m, cancel: cancel, onReplaced: a.stop, done: make(chan struct{})}
	m.outer = b
	a.beside = b
	go func() {
		defer close(b.done)
		b.err = m.runAttempts(ctx, true)
		if b.isReplaced() {
			close(a.left)
		}
	}()
}

// runBeside makes the attempt on the granted engines, and others beside it if it is
// silent or late. It returns once one of them has ended the answer, or all have
// failed. An attempt that was replaced may end after that.
func (a *attempt) runBeside(ctx context.Context, g sardineknot.Grant) error {
	e := make(chan error, 1)
	go func() {
		err := a.prefillAndDecode(ctx, g)
		a.finish(ctx, err)
		e <- err
	}()
	select {
	case err := <-e:
		a.run.engineCalled = a.run.engineCalled || len(a.usedServers) > 0
		return a.joinBeside(err)
	case <-a.left:
		a.run.engineCalled, a.run.joined = true, true
		return a.current().err
	}
}

// stop ends the exchanges of a, which was replaced. The deadline of the next token
// does not concern the attempts beside it any more.
func (a *attempt) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onFirstToken()
	if a.cancelDecode != nil {
		a.cancelDecode()
	}
}

// current returns the attempts beside a, or nil.
func (a *attempt) current() *beside {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.beside
}

// claimToken reports whether a may go on with the next token. If there are
// attempts beside a, they end.
func (a *attempt) claimToken(ctx context.Context) (bool, error) {
	if o := a.run.outer; o != nil && !o.claim() {
		return false, nil
	}
	b := a.current()
	if b == nil {
		return true, nil
	}
	if !b.wake() {
		return false, nil
	}
	a.endBeside(b)
	return true, a.updateRecord(ctx)
}

// endBeside ends the attempts beside a, whose engine has gone on.
func (a *attempt) endBeside(b *beside) {
	b.cancel(errNotNeeded)
	<-b.done
	a.mu.Lock()
	defer a.mu.Unlock()
	a.beside = nil
	a.run.index = b.run.index
	a.reservation.start(b.run.index)
}

// replaced reports whether an attempt beside a has the next token.
func (a *attempt) replaced() bool {
	b := a.current()
	return b != nil && b.isReplaced()
}

// joinBeside waits for the attempts beside a, which has ended with err, and returns
// the error of the last attempt that was made.
func (a *attempt) joinBeside(err error) error {
	b := a.current()
	if b == nil {
		return err
	}
	<-b.done
	b.cancel(nil)
	a.record, a.run.index = b.run.record, b.run.index
	a.run.engineCalled = a.run.engineCalled || b.run.engineCalled
	a.run.joined = true
	if b.err != nil && !b.isReplaced() {
		return err
	}
	return b.err
}
