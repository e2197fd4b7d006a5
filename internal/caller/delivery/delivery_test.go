package delivery

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// clock is a fake clock that the test sets.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// recorder is a fake OutcomeRecorder that keeps the last outcome.
type recorder struct{ last sardineknot.Outcome }

func (r *recorder) Record(_ time.Time, o sardineknot.Outcome) { r.last = o }

func TestKind(t *testing.T) {
	notRun := &sardineknot.NotRunError{}
	for _, c := range []struct {
		name  string
		first time.Duration
		gap   time.Duration
		err   error
		want  sardineknot.OutcomeKind
	}{
		{"complete and in time", time.Second, 30 * time.Millisecond, io.EOF, sardineknot.OutcomeGood},
		{"first token late", 2 * time.Second, 30 * time.Millisecond, io.EOF, sardineknot.OutcomeSlow},
		{"tokens late", time.Second, 40 * time.Millisecond, io.EOF, sardineknot.OutcomeSlow},
		{"refused", 0, 0, notRun, sardineknot.OutcomeNotRun},
		{"interrupted", time.Second, 0, &sardineknot.InterruptedError{}, sardineknot.OutcomeFailed},
		{"abandoned by the caller", time.Second, 0, context.Canceled, sardineknot.OutcomeAbandoned},
	} {
		t.Run(c.name, func(t *testing.T) { assertKind(t, c.first, c.gap, c.err, c.want) })
	}
}

// assertKind checks the kind of outcome of a delivery that ends with err. If
// first is not zero, a token is delivered after that time, and another one
// after the additional time gap.
func assertKind(t *testing.T, first, gap time.Duration, err error, want sardineknot.OutcomeKind) {
	t.Helper()
	k := &clock{now: time.Unix(1_800_000_000, 0)}
	r := &recorder{}
	d := NewDelivery(k, r, "verk", sardineknot.Work{FirstToken: 1400 * time.Millisecond, PerToken: 34 * time.Millisecond})
	if first > 0 {
		k.now = k.now.Add(first)
		d.Token()
		k.now = k.now.Add(gap)
		d.Token()
	}
	d.End(err)
	is.New(t).Equal(r.last.Kind, want)
}
