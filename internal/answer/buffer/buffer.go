// Package buffer holds the answer to one request between the engine that
// generates it and the connection that delivers it to the caller.
//
// An answer has at most one delivery at a time: a later Attach ends the earlier
// delivery. An answer without a delivery is abandoned after a timeout, and its
// generation is cancelled.
package buffer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// Buffer holds the tokens of the answer to one request. It is safe for
// concurrent use.
type Buffer struct {
	key sardineknot.RequestKey
	// abandonTimeout is the time without a delivery after which abandon is
	// called.
	abandonTimeout time.Duration
	abandon        func()
	// check is called before Next returns anything but the error of its
	// context. If check fails, Next returns the error of check instead. check
	// may be nil.
	check func(context.Context) error

	mu sync.Mutex
	// start is the index of the first token in tokens. It is zero unless
	// earlier tokens were lost.
	start int
	// tokens holds the answer from start on, without gaps.
	tokens []sardineknot.Token
	// end is nil while the answer is being produced, io.EOF once it is
	// complete, and another error if it failed.
	end error
	// delivery is the number of the latest delivery, the only one that may
	// read.
	delivery int
	// abandonTimer expires when no delivery was attached for abandonTimeout. It
	// is nil while a delivery is attached.
	abandonTimer *time.Timer
	// changed is closed and replaced whenever the answer or the delivery
	// changes.
	changed chan struct{}
}

// NewBuffer returns an empty buffer for the answer to request k. abandon is
// called, possibly more than once, when the answer has not ended and no
// delivery was attached for abandonTimeout. check is called before Next returns
// anything but the error of its context. If check fails, Next returns the error
// of check instead. check may be nil.
func NewBuffer(k sardineknot.RequestKey, abandonTimeout time.Duration, abandon func(), check func(context.Context) error) *Buffer {
	b := &Buffer{key: k, abandonTimeout: abandonTimeout, abandon: abandon, check: check, changed: make(chan struct{})}
	b.abandonTimer = time.AfterFunc(abandonTimeout, b.abandonUnread)
	return b
}

// Append adds token t. It fails with an InterruptedError if t is not the next
// token, and with the error passed to End if the answer has ended.
func (b *Buffer) Append(t sardineknot.Token) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return b.end
	}
	if t.Index != b.start+len(b.tokens) {
		return errors.WithStack(&sardineknot.InterruptedError{Offset: b.start + len(b.tokens), Reason: "token out of order"})
	}
	b.tokens = append(b.tokens, t)
	b.notifyLocked()
	return nil
}

// CopyFrom sets the tokens of b, which must be empty, to those of p, which must
// have ended.
func (b *Buffer) CopyFrom(p *Buffer) {
	p.mu.Lock()
	f, t := p.start, p.tokens
	p.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start = f
	b.tokens = t[:len(t):len(t)]
}

// StartAt sets the index of the first token to first, because earlier tokens
// are lost. It has no effect if b has tokens.
func (b *Buffer) StartAt(first int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.tokens) == 0 {
		b.start = first
	}
}

// Len returns the index of the next token to be appended.
func (b *Buffer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.start + len(b.tokens)
}

// FromStart reports whether b holds the answer from its first token on.
func (b *Buffer) FromStart() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.start == 0
}

// End ends the answer with err, which is io.EOF if the answer is complete. Only
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

// Tokens returns the tokens so far, without lost ones. The caller must not
// modify the result.
func (b *Buffer) Tokens() []sardineknot.Token {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens[:len(b.tokens):len(b.tokens)]
}

// Err returns nil while the answer is being produced, io.EOF once it is
// complete, and the error passed to End otherwise.
func (b *Buffer) Err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end
}

// Attach starts a delivery, ends the earlier one, and returns the number of the
// new delivery.
func (b *Buffer) Attach() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.abandonTimer != nil {
		b.abandonTimer.Stop()
		b.abandonTimer = nil
	}
	b.delivery++
	b.notifyLocked()
	return b.delivery
}

// Detach ends delivery d. It has no effect if a later delivery exists.
func (b *Buffer) Detach(d int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d != b.delivery || b.abandonTimer != nil {
		return
	}
	b.abandonTimer = time.AfterFunc(b.abandonTimeout, b.abandonUnread)
}

// Next waits for the token at index offset and returns it to delivery d. It
// returns io.EOF after the last token of a complete answer, a
// DeliveryTakenOverError if a later delivery exists, an AnswerLostError if the
// token was lost, an InvalidError if offset lies beyond the end of a complete
// answer, the error passed to End if the answer failed, and the error of ctx.
func (b *Buffer) Next(ctx context.Context, d, offset int) (sardineknot.Token, error) {
	for {
		t, c, err := b.poll(d, offset)
		if c == nil {
			return b.verify(ctx, t, err)
		}
		select {
		case <-c:
		case <-ctx.Done():
			return sardineknot.Token{}, errors.WithStack(ctx.Err())
		}
	}
}

// verify calls b.check and returns its error if it fails. If b.check succeeds or
// is nil, verify returns t and err.
func (b *Buffer) verify(ctx context.Context, t sardineknot.Token, err error) (sardineknot.Token, error) {
	if b.check == nil {
		return t, err
	}
	f := b.check(ctx)
	if f != nil {
		return sardineknot.Token{}, f
	}
	return t, err
}

// poll returns the token at offset or the error for delivery d. If neither is
// available yet, it returns a channel that is closed at the next change.
func (b *Buffer) poll(d, offset int) (t sardineknot.Token, c <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case d != b.delivery:
		return t, nil, errors.WithStack(&sardineknot.DeliveryTakenOverError{Key: b.key})
	case offset < b.start:
		return t, nil, errors.WithStack(&sardineknot.AnswerLostError{Key: b.key, Offset: offset})
	case offset < b.start+len(b.tokens):
		return b.tokens[offset-b.start], nil, nil
	case b.end != nil && errors.Is(b.end, io.EOF) && offset > b.start+len(b.tokens):
		return t, nil, errors.WithStack(&sardineknot.InvalidError{What: "Last-Event-ID", Got: "an index after the end", Expected: "an index of the answer"})
	case b.end != nil:
		return t, nil, b.end
	default:
		return t, b.changed, nil
	}
}

func (b *Buffer) abandonUnread() {
	b.mu.Lock()
	u := b.abandonTimer != nil && b.end == nil
	b.mu.Unlock()
	if u {
		b.abandon()
	}
}

func (b *Buffer) notifyLocked() {
	close(b.changed)
	b.changed = make(chan struct{})
}
