// Package buffer holds the answer to one request between the engine that
// generates it and the caller's connection that delivers it.
//
// An answer has at most one delivery at a time: a later Attach ends the
// earlier one. An answer that nobody reads for a grace period is abandoned,
// and its generation is cancelled.
package buffer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// Buffer is the answer to one request. It is safe for concurrent use.
type Buffer struct {
	key sardineknot.RequestKey
	// grace is the time without a delivery after which abandon is called.
	grace   time.Duration
	abandon func()
	// check has to succeed before each step of a delivery. It may be nil.
	check func(context.Context) error

	mu sync.Mutex
	// first is the index of the first token that is kept. It is zero unless
	// the earlier ones were lost.
	first int
	// tokens holds the answer from first on, without gaps.
	tokens []sardineknot.Token
	// end is nil while the answer grows, io.EOF once it is whole, and another
	// error once it failed.
	end error
	// delivery numbers the deliveries. Only the last one may read.
	delivery int
	// timer calls abandon. It is nil while a delivery is attached.
	timer *time.Timer
	// changed is closed and replaced at every change.
	changed chan struct{}
}

// NewBuffer returns an empty answer to the request k. abandon is called, once
// or more, when no delivery was attached for grace and the answer has not
// ended. check, if not nil, has to succeed before each step of a delivery.
func NewBuffer(k sardineknot.RequestKey, grace time.Duration, abandon func(), check func(context.Context) error) *Buffer {
	b := &Buffer{key: k, grace: grace, abandon: abandon, check: check, changed: make(chan struct{})}
	b.timer = time.AfterFunc(grace, b.abandonUnread)
	return b
}

// Append adds the next token. It fails with an InterruptedError if t is not
// the next one, and with the answer's end if it has ended.
func (b *Buffer) Append(t sardineknot.Token) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return b.end
	}
	if t.Index != b.first+len(b.tokens) {
		return errors.WithStack(&sardineknot.InterruptedError{Offset: b.first + len(b.tokens), Reason: "token out of order"})
	}
	b.tokens = append(b.tokens, t)
	b.notifyLocked()
	return nil
}

// Continue takes the tokens of p, which has ended, as the start of an empty
// answer.
func (b *Buffer) Continue(p *Buffer) {
	p.mu.Lock()
	f, t := p.first, p.tokens
	p.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first = f
	b.tokens = t[:len(t):len(t)]
}

// Skip makes the answer start at index first, because the earlier tokens are
// lost. It has no effect on an answer that has tokens.
func (b *Buffer) Skip(first int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.tokens) == 0 {
		b.first = first
	}
}

// Len returns the index after the last token.
func (b *Buffer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.first + len(b.tokens)
}

// Complete reports whether no earlier tokens are lost.
func (b *Buffer) Complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.first == 0
}

// End ends the answer with err, which is io.EOF if the answer is whole. Only
// the first call has an effect.
func (b *Buffer) End(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return
	}
	b.end = err
	b.notifyLocked()
}

// Tokens returns the answer so far, without what Skip left out. The result must not be modified.
func (b *Buffer) Tokens() []sardineknot.Token {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens[:len(b.tokens):len(b.tokens)]
}

// Ended returns nil while the answer grows, io.EOF once it is whole, and the
// failure otherwise.
func (b *Buffer) Ended() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end
}

// Attach starts a delivery, ends the earlier one, and returns its number.
func (b *Buffer) Attach() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	b.delivery++
	b.notifyLocked()
	return b.delivery
}

// Detach ends the delivery d, unless a later one ended it.
func (b *Buffer) Detach(d int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d != b.delivery || b.timer != nil {
		return
	}
	b.timer = time.AfterFunc(b.grace, b.abandonUnread)
}

// Next waits for the token at index offset and returns it to the delivery d.
// It returns io.EOF after the last token of a whole answer, a DisplacedError
// if a later delivery exists, the failure of the answer, and the error of ctx.
func (b *Buffer) Next(ctx context.Context, d, offset int) (sardineknot.Token, error) {
	for {
		t, c, err := b.look(d, offset)
		if c == nil {
			return b.checked(ctx, t, err)
		}
		select {
		case <-c:
		case <-ctx.Done():
			return sardineknot.Token{}, errors.WithStack(ctx.Err())
		}
	}
}

// checked returns t and err if the check succeeds.
func (b *Buffer) checked(ctx context.Context, t sardineknot.Token, err error) (sardineknot.Token, error) {
	if b.check == nil {
		return t, err
	}
	f := b.check(ctx)
	if f != nil {
		return sardineknot.Token{}, f
	}
	return t, err
}

// look returns what delivery d finds at offset. If c is not nil, there is
// nothing before c is closed.
func (b *Buffer) look(d, offset int) (t sardineknot.Token, c <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case d != b.delivery:
		return t, nil, errors.WithStack(&sardineknot.DisplacedError{Key: b.key})
	case offset < b.first:
		return t, nil, errors.WithStack(&sardineknot.LostError{Key: b.key, Offset: offset})
	case offset < b.first+len(b.tokens):
		return b.tokens[offset-b.first], nil, nil
	case b.end != nil && errors.Is(b.end, io.EOF) && offset > b.first+len(b.tokens):
		return t, nil, errors.WithStack(&sardineknot.InvalidError{What: "Last-Event-ID", Got: "an index after the end", Expected: "an index of the answer"})
	case b.end != nil:
		return t, nil, b.end
	default:
		return t, b.changed, nil
	}
}

func (b *Buffer) abandonUnread() {
	b.mu.Lock()
	u := b.timer != nil && b.end == nil
	b.mu.Unlock()
	if u {
		b.abandon()
	}
}

func (b *Buffer) notifyLocked() {
	close(b.changed)
	b.changed = make(chan struct{})
}
