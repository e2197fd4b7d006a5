package completion_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/memory"
)

const (
	// slowTime is the time after which the caller of a wholeServer reads its answer.
	slowTime = time.Second
	// sentBytes is the length of an answer of a wholeServer.
	sentBytes = 1 << 20
)

// wholeServer is a fake backend server that sends a whole answer at once and ends its
// connection.
type wholeServer struct {
	server
	// answer returns the result of the query with the given number, from 1 on.
	answer  func(query int32) error
	queries atomic.Int32
	// endErr is how the connection ends. Nil means in an orderly way.
	endErr error
	// left is the number of bytes that were not read, and pause the time that a read takes.
	left  atomic.Int64
	pause time.Duration
	// readers is the number of reads in progress. closed is closed when the answer is.
	readers atomic.Int32
	closed  chan struct{}
	once    sync.Once
}

func newWholeServer(answer func(query int32) error) *wholeServer {
	s := &wholeServer{answer: answer, closed: make(chan struct{})}
	s.healthPath = "/health"
	s.left.Store(sentBytes)
	return s
}

func (s *wholeServer) Forward(context.Context, sardineknot.BackendServer, *sardineknot.Call, sardineknot.ForwardOptions) (*sardineknot.Response, error) {
	return &sardineknot.Response{Status: 200, Framing: sardineknot.FramingConnection, Body: s}, nil
}

func (s *wholeServer) Probe(context.Context, sardineknot.BackendServer, sardineknot.Service) (identified bool, err error) {
	return true, s.answer(s.queries.Add(1))
}

func (s *wholeServer) Read(buffer []byte) (int, error) {
	if s.readers.Add(1) > 1 {
		panic("two reads at once")
	}
	defer s.readers.Add(-1)
	select {
	case <-time.After(s.pause):
	case <-s.closed:
		return 0, io.ErrClosedPipe
	}
	n := min(int64(len(buffer)), s.left.Load())
	if n == 0 && s.endErr != nil {
		return 0, s.endErr
	}
	if n == 0 {
		return 0, io.EOF
	}
	s.left.Add(-n)
	for i := range buffer[:n] {
		buffer[i] = 'x'
	}
	return int(n), nil
}

func (s *wholeServer) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// open returns the body of an answer of s. Such answers share m.
func (s *wholeServer) open(ctx context.Context, t *testing.T, m *memory.Budget) io.ReadCloser {
	f := s.server.forwarder()
	f.Forwarder, f.Prober, f.Memory = s, s, m
	p, err := f.Forward(ctx, sardineknot.BackendServer{Name: "s", Service: "plain"}, safeCall(), sardineknot.ForwardOptions{})
	is.New(t).NoErr(err)
	return p.Body
}

// readSlowly reads an answer of s from slowTime on, and returns the error with which it ends.
func (s *wholeServer) readSlowly(t *testing.T, m *memory.Budget) error {
	b := s.open(t.Context(), t, m)
	defer b.Close()
	time.Sleep(slowTime)
	l, err := io.ReadAll(b)
	is.New(t).Equal(len(l), sentBytes)
	return err
}

// gone is the error of a query to a server that has stopped.
var gone = &sardineknot.UnsentError{Cause: syscall.ECONNREFUSED}

// firstAnswer returns err for the first query and rest for the others.
func firstAnswer(err, rest error) func(query int32) error {
	return func(query int32) error {
		if query == 1 {
			return err
		}
		return rest
	}
}

// TestSlowCaller guards against whole answers that count as broken off because their server
// stopped before a slow caller had read them.
func TestSlowCaller(t *testing.T) {
	run := func(name string, f func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
	}
	run("complete if the server stops before the caller reads", func(t *testing.T) {
		s := newWholeServer(firstAnswer(nil, gone))
		is.New(t).NoErr(s.readSlowly(t, &memory.Budget{}))
		is.New(t).Equal(s.queries.Load(), int32(1))
	})
	run("broken off if the server had ended, though another one is there when the caller reads", func(t *testing.T) {
		s := newWholeServer(firstAnswer(gone, nil))
		assertUnconfirmed(t, s.readSlowly(t, &memory.Budget{}))
		is.New(t).Equal(s.queries.Load(), int32(1))
	})
	run("confirmed when the caller reads if it failed before without showing that the server is gone", func(t *testing.T) {
		n := time.Now()
		s := newWholeServer(func(int32) error {
			if time.Since(n) < slowTime {
				return io.ErrUnexpectedEOF
			}
			return nil
		})
		is.New(t).NoErr(s.readSlowly(t, &memory.Budget{}))
	})
	run("an error of the connection is no end", func(t *testing.T) {
		s := newWholeServer(firstAnswer(nil, nil))
		s.endErr = syscall.ECONNRESET
		is.New(t).True(errors.Is(s.readSlowly(t, &memory.Budget{}), syscall.ECONNRESET))
		is.New(t).Equal(s.queries.Load(), int32(0))
	})
	run("complete beyond the memory if the server stays", func(t *testing.T) {
		s := newWholeServer(firstAnswer(nil, nil))
		is.New(t).NoErr(s.readSlowly(t, &memory.Budget{Bytes: 128 << 10, Free: 1}))
	})
}

// TestAheadMemory guards against slow callers that take memory without bound.
func TestAheadMemory(t *testing.T) {
	run := func(name string, f func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
	}
	run("no more than the memory allows, for all answers together", func(t *testing.T) {
		m := &memory.Budget{Bytes: 512 << 10, Free: 1}
		read := int64(0)
		for range 4 {
			s := newWholeServer(firstAnswer(nil, nil))
			defer s.open(t.Context(), t, m).Close()
			time.Sleep(slowTime)
			read += sentBytes - s.left.Load()
		}
		is.New(t).True(read > 0 && read <= 512<<10)
	})
	run("a bounded part of one answer", func(t *testing.T) {
		s := newWholeServer(firstAnswer(nil, nil))
		s.left.Store(64 << 20)
		defer s.open(t.Context(), t, &memory.Budget{Bytes: 64 << 20}).Close()
		time.Sleep(slowTime)
		is.New(t).True(s.left.Load() >= 60<<20)
	})
	run("the memory is given back", func(t *testing.T) {
		m := &memory.Budget{Bytes: 2 << 20, Free: 1}
		for range 4 {
			s := newWholeServer(firstAnswer(nil, gone))
			is.New(t).NoErr(s.readSlowly(t, m))
			s = newWholeServer(firstAnswer(nil, gone))
			b := s.open(t.Context(), t, m)
			time.Sleep(slowTime)
			is.New(t).NoErr(b.Close())
		}
		var h int64
		is.New(t).True(m.Grow(&h, 2<<20))
	})
}

// TestReadAhead guards against two reads of an answer at once, and against reads of one that
// nobody wants any more.
func TestReadAhead(t *testing.T) {
	run := func(name string, f func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
	}
	run("not while the caller reads", func(t *testing.T) {
		s := newWholeServer(firstAnswer(nil, nil))
		s.pause = slowTime
		b := s.open(t.Context(), t, &memory.Budget{})
		defer b.Close()
		n, err := b.Read(make([]byte, 1))
		is.New(t).NoErr(err)
		is.New(t).Equal(n, 1)
		is.New(t).Equal(s.left.Load(), int64(sentBytes-1))
	})
	run("the caller waits for a read that has begun", func(t *testing.T) {
		s := newWholeServer(firstAnswer(nil, nil))
		s.pause = slowTime
		b := s.open(t.Context(), t, &memory.Budget{})
		defer b.Close()
		time.Sleep(slowTime / 2)
		l, err := io.ReadAll(b) // the server panics if two read at once
		is.New(t).NoErr(err)
		is.New(t).Equal(len(l), sentBytes)
	})
	run("closed during a read", func(t *testing.T) {
		s := newWholeServer(firstAnswer(nil, nil))
		s.pause = slowTime
		b := s.open(t.Context(), t, &memory.Budget{})
		time.Sleep(slowTime / 2)
		is.New(t).NoErr(b.Close())
		_, err := io.ReadAll(b)
		is.New(t).True(err != nil)
		is.New(t).Equal(s.queries.Load(), int32(0))
	})
	run("nothing once the caller has gone", func(t *testing.T) {
		s := newWholeServer(firstAnswer(nil, nil))
		ctx, cancel := context.WithCancel(t.Context())
		s.open(ctx, t, &memory.Budget{})
		cancel()
		time.Sleep(slowTime)
		is.New(t).Equal(s.left.Load(), int64(sentBytes))
	})
}

// TestReadAheadAgain guards against an answer that is not read ahead any more because its caller
// has kept up with it for a while.
func TestReadAheadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newWholeServer(firstAnswer(nil, gone))
		s.pause = 30 * time.Millisecond
		s.left.Store(64 << 10)
		b := s.open(t.Context(), t, &memory.Budget{})
		defer b.Close()
		time.Sleep(25 * time.Millisecond) // the first read ahead has begun
		_, err := io.ReadFull(b, make([]byte, 8<<10))
		is.New(t).NoErr(err)
		time.Sleep(slowTime)
		is.New(t).Equal(s.left.Load(), int64(0))
		_, err = io.ReadAll(b)
		is.New(t).NoErr(err)
	})
}
