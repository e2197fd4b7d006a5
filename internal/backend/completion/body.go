package completion

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// aheadDelay is the time without a read after which a body is read ahead of its caller.
	aheadDelay = 20 * time.Millisecond
	// aheadReadBytes is the size of a read, and maxAheadBytes bounds what is held of one answer.
	aheadReadBytes = 8 << 10
	maxAheadBytes  = 4 << 20
)

// body is the body of a response that ends with its connection. A slow caller may read the end
// long after the server has sent it, when the server has stopped. So a body whose caller does
// not read is read ahead, as far as the memory allows, and its end is confirmed once it was
// read here.
type body struct {
	io.ReadCloser
	forwarder *Forwarder
	ctx       context.Context
	server    sardineknot.BackendServer
	call      *sardineknot.Call
	// err is what Read returns once the connection has ended. Only Read uses it.
	err error

	mu sync.Mutex
	// changed is signalled when a read ahead has ended.
	changed sync.Cond
	// ahead holds what was read ahead, in pieces that are not empty, and size its length in
	// bytes. held is what it takes of the memory of the forwarder.
	ahead [][]byte
	size  int
	held  int64
	// reading is set while the caller reads from the connection, and pumping while it is
	// read ahead. watched is set while a check whether to do so is due.
	reading, pumping, watched bool
	// closed is set by Close.
	closed bool
	// endErr is the error with which the connection has ended, or nil.
	endErr error
	// proof is closed when the confirmation that follows a read ahead is over, with the
	// result proofErr. It is nil if none has begun.
	proof    chan struct{}
	proofErr *sardineknot.UnconfirmedEndError
}

// newBody returns the body of response, which server sends as the answer to call.
func newBody(ctx context.Context, forwarder *Forwarder, server sardineknot.BackendServer, call *sardineknot.Call, response *sardineknot.Response) *body {
	b := &body{ReadCloser: response.Body, forwarder: forwarder, ctx: ctx, server: server, call: call}
	b.changed.L = &b.mu
	b.watchLocked()
	return b
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.read(buffer)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	b.err = b.forwarder.end(b.ctx, b.server, b.call, b.confirm())
	if b.err == nil {
		b.err = io.EOF
	}
	return n, b.err
}

// read reads what was read ahead, or from the connection if there is nothing.
func (b *body) read(buffer []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.pumping && len(b.ahead) == 0 {
		b.changed.Wait()
	}
	if len(b.ahead) > 0 {
		return b.takeLocked(buffer), nil
	}
	if b.endErr != nil {
		return 0, b.endErr
	}
	b.reading = true
	b.mu.Unlock()
	n, err := b.ReadCloser.Read(buffer)
	b.mu.Lock()
	b.reading, b.endErr = false, err
	b.watchLocked()
	return n, err
}

// takeLocked moves bytes that were read ahead to buffer.
func (b *body) takeLocked(buffer []byte) int {
	n := copy(buffer, b.ahead[0])
	b.ahead[0] = b.ahead[0][n:]
	b.size -= n
	if len(b.ahead[0]) == 0 {
		b.ahead = b.ahead[1:]
	}
	if len(b.ahead) == 0 {
		b.ahead = nil
		b.forwarder.Memory.Release(&b.held)
	}
	b.watchLocked()
	return n
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.mu.Lock()
	b.closed, b.ahead = true, nil
	b.forwarder.Memory.Release(&b.held)
	b.mu.Unlock()
	return errors.WithStack(b.ReadCloser.Close())
}

// confirm returns the result of the confirmation of the end. One that followed a read ahead
// and failed is repeated, unless the server was gone.
func (b *body) confirm() *sardineknot.UnconfirmedEndError {
	b.mu.Lock()
	p := b.proof
	b.mu.Unlock()
	if p != nil {
		<-p
		if b.proofErr == nil || b.proofErr.ServerGone() {
			return b.proofErr
		}
	}
	return b.forwarder.awaitProof(b.ctx, b.server, timeout(b.call))
}

// watchLocked makes a check due, unless one is or the connection has ended.
func (b *body) watchLocked() {
	if b.watched || b.pumping || b.closed || b.endErr != nil {
		return
	}
	b.watched = true
	time.AfterFunc(aheadDelay, b.check)
}

// check reads ahead unless the caller is reading, which makes the next check due.
func (b *body) check() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watched = false
	if b.reading || b.closed || b.endErr != nil || b.ctx.Err() != nil {
		return
	}
	b.pumping = true
	k := b.pumpLocked()
	b.pumping = false
	b.changed.Broadcast()
	if k {
		b.watchLocked()
	}
}

// pumpLocked reads ahead until the connection ends, the memory is used up or the caller has
// taken all that was read, in which case it returns true.
func (b *body) pumpLocked() bool {
	l := make([]byte, aheadReadBytes)
	for i := 0; b.growLocked(); i++ {
		b.mu.Unlock()
		n, err := b.ReadCloser.Read(l)
		b.mu.Lock()
		if b.closed {
			b.endErr = errors.WithStack(errClosed)
			return false
		}
		c := i > 0 && len(b.ahead) == 0
		b.addLocked(l[:n])
		if err != nil {
			b.endErr = err
			b.beginProofLocked()
			return false
		}
		if c {
			return true
		}
	}
	return false
}

// addLocked adds bytes to what was read ahead.
func (b *body) addLocked(bytes []byte) {
	if len(bytes) == 0 {
		return
	}
	b.ahead, b.size = append(b.ahead, slices.Clone(bytes)), b.size+len(bytes)
	b.changed.Broadcast()
}

// errClosed is what Read returns once the body is closed.
var errClosed = errors.New("the body is closed")

// growLocked reports whether there is memory for another read.
func (b *body) growLocked() bool {
	n := b.size + aheadReadBytes
	return !b.closed && n <= maxAheadBytes && b.forwarder.Memory.Grow(&b.held, n)
}

// beginProofLocked begins the confirmation of the end if a read ahead has found one.
func (b *body) beginProofLocked() {
	if !errors.Is(b.endErr, io.EOF) {
		return
	}
	b.proof = make(chan struct{})
	go func() {
		defer close(b.proof)
		b.proofErr = b.forwarder.awaitProof(b.ctx, b.server, timeout(b.call))
	}()
}
