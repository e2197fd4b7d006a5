package service

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// errOvertaken is the cancellation cause of an attempt whose server was silent
// until a later attempt was answered.
var errOvertaken = errors.New("a later attempt was answered")

// attempts holds the attempts of one repeatable call. An attempt whose server
// is silent for half of the remaining time gets another one beside it, and is
// cancelled only when the other one is answered: the retry budget, the other
// server or its answer may be missing, and a late answer is better than none.
// Only the goroutine that called newAttempts may use it.
type attempts struct {
	runner *Runner
	call   sardineknot.ServiceCall
	// cancels cancels the attempts, in order of their start.
	cancels []context.CancelCauseFunc
	// running is the number of attempts that have not ended.
	running int
	// ends receives the end of each attempt and has room for all of them.
	ends chan attemptEnd
	// silence expires when the attempt that was started last has been silent
	// for half of the time that remained at its start.
	silence *time.Timer

	// mu guards tried.
	mu sync.Mutex
	// tried holds the servers that the attempts have used.
	tried map[sardineknot.BackendServerName]bool
}

// attemptEnd is the result of one attempt.
type attemptEnd struct {
	// number is the number of the attempt, counted from one.
	number int
	answer sardineknot.ServiceAnswer
	err    error
}

// newAttempts returns the state of the call c, without an attempt.
func newAttempts(r *Runner, c sardineknot.ServiceCall) *attempts {
	return &attempts{
		runner:  r,
		call:    c,
		ends:    make(chan attemptEnd, maxAttempts),
		silence: time.NewTimer(c.Deadline.Sub(r.Clock.Now())),
		tried:   make(map[sardineknot.BackendServerName]bool),
	}
}

// start starts an attempt that waits for the duration wait before it is sent.
func (s *attempts) start(ctx context.Context, wait time.Duration) {
	ctx, cancel := context.WithCancelCause(ctx)
	s.cancels = append(s.cancels, cancel)
	s.running++
	s.silence.Reset(s.call.Deadline.Sub(s.runner.Clock.Now()) / 2)
	go s.run(ctx, len(s.cancels), wait)
}

// run makes attempt n and sends its result to s.ends.
func (s *attempts) run(ctx context.Context, n int, wait time.Duration) {
	if (clock.System{}).Sleep(ctx, wait) != nil {
		s.ends <- attemptEnd{number: n, err: newNotRunError(ctx.Err())}
		return
	}
	s.mu.Lock()
	b, err := s.runner.pick(s.call, s.tried)
	s.mu.Unlock()
	if err != nil {
		s.ends <- attemptEnd{number: n, err: err}
		return
	}
	a, err := s.runner.sendTo(ctx, s.call, b)
	s.ends <- attemptEnd{number: n, answer: a, err: err}
}

// retry starts another attempt if maxAttempts, the time and the retry budget
// allow it. The attempts that are running go on.
func (s *attempts) retry(ctx context.Context) {
	n := len(s.cancels)
	if n == maxAttempts || ctx.Err() != nil {
		return
	}
	w, ok := s.runner.Retries.Next(n)
	if ok && s.runner.Clock.Now().Add(w).Before(s.call.Deadline) {
		s.start(ctx, w)
	}
}

// overtake cancels the attempts before attempt n, which was answered.
func (s *attempts) overtake(n int) {
	for _, cancel := range s.cancels[:n-1] {
		cancel(errOvertaken)
	}
}
