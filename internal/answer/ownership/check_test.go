package ownership_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/ownership"
	"sardineknot.example/sardineknot/internal/answer/pause"
	"sardineknot.example/sardineknot/internal/host/clock"
)

const limit = time.Second

// directory is a fake answer directory. Register counts its calls. It fails as
// many times as failures says, and then returns the record with host as its
// host.
type directory struct {
	host     sardineknot.EntryHostID
	failures int
	calls    int
}

func (d *directory) Register(_ context.Context, r sardineknot.AnswerRecord) (sardineknot.AnswerRecord, *sardineknot.AnswerRecord, error) {
	d.calls++
	if d.calls <= d.failures {
		return r, nil, &sardineknot.UnavailableError{Peer: "directory", Cause: context.DeadlineExceeded}
	}
	r.Host = d.host
	return r, nil, nil
}

func (*directory) Unregister(context.Context, sardineknot.AnswerRecord) {}

// run runs f in a synctest bubble with a check. The pause detector reads the
// clock only when the check is called, so that a sleep of more than limit
// counts as a pause.
func run(t *testing.T, name string, d *directory, f func(t *testing.T, check func(context.Context) error)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := &ownership.Checker{
				PauseDetector: pause.NewDetector(clock.System{}, limit), Directory: d,
				LocalRecord: func(k sardineknot.RequestKey) (sardineknot.AnswerRecord, bool) {
					return sardineknot.AnswerRecord{Key: k, Host: "self"}, true
				},
			}
			f(t, c.For(sardineknot.RequestKey{Account: "a", ID: "1"}))
		})
	})
}

func TestCheck(t *testing.T) {
	d := &directory{host: "other"}
	run(t, "does not call the directory without a pause", d, func(t *testing.T, check func(context.Context) error) {
		for range 10 {
			time.Sleep(limit)
			is.New(t).NoErr(check(t.Context()))
		}
		is.New(t).Equal(d.calls, 0)
	})
	run(t, "fails after a pause if another host produces the answer", &directory{host: "other"}, func(t *testing.T, check func(context.Context) error) {
		time.Sleep(limit + time.Nanosecond)
		var e *sardineknot.DeliveryTakenOverError
		is.New(t).True(errors.As(check(t.Context()), &e))
		is.New(t).True(errors.As(check(t.Context()), &e))
	})
	s := &directory{host: "self", failures: 5}
	run(t, "queries the directory once for each pause and retries until it answers", s, func(t *testing.T, check func(context.Context) error) {
		time.Sleep(2 * limit)
		is.New(t).NoErr(check(t.Context()))
		is.New(t).NoErr(check(t.Context()))
		is.New(t).Equal(s.calls, 6)
	})
}
