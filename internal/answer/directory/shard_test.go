package directory_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/directory"
	"sardineknot.example/sardineknot/internal/host/clock"
)

const settle = time.Second

// fixture is a shard with the set of hosts that it considers dead.
type fixture struct {
	*directory.Shard
	dead map[sardineknot.EntryHostID]bool
}

func run(t *testing.T, name string, f func(*testing.T, fixture)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			d := make(map[sardineknot.EntryHostID]bool)
			s := directory.NewShard(clock.System{}, func(h sardineknot.EntryHostID, _ sardineknot.Incarnation) bool { return d[h] }, settle)
			f(t, fixture{s, d})
			time.Sleep(settle)
		})
	})
}

func record(id string, h sardineknot.EntryHostID, attempt int) sardineknot.AnswerRecord {
	return sardineknot.AnswerRecord{
		Key: sardineknot.RequestKey{Account: "a", ID: sardineknot.RequestID(id)}, Host: h, Incarnation: 1, Attempt: attempt,
	}
}

// checkRegister registers r and checks the current record and the one that it
// replaced.
func checkRegister(t *testing.T, f fixture, r, current sardineknot.AnswerRecord, previous *sardineknot.AnswerRecord) {
	t.Helper()
	c, p, err := f.Register(t.Context(), r, false)
	is.New(t).NoErr(err)
	is.New(t).Equal(c, current)
	is.New(t).Equal(p, previous)
}

func TestShard(t *testing.T) {
	a, b := record("1", "h1", 0), record("1", "h2", 0)
	run(t, "the first host produces the answer", func(t *testing.T, f fixture) {
		checkRegister(t, f, a, a, nil)
		checkRegister(t, f, b, a, nil)
	})
	run(t, "a dead host is replaced and its record returned", func(t *testing.T, f fixture) {
		checkRegister(t, f, a, a, nil)
		f.dead["h1"] = true
		checkRegister(t, f, b, b, &a)
		f.dead["h1"] = false
		checkRegister(t, f, a, b, nil)
	})
	run(t, "an ended record keeps its attempt number", func(t *testing.T, f fixture) {
		c := record("1", "h1", 7)
		checkRegister(t, f, c, c, nil)
		f.Forget(b)
		checkRegister(t, f, b, c, nil)
		f.Forget(c)
		c.Ended = true
		checkRegister(t, f, b, b, &c)
	})
	run(t, "only re-registered records are accepted while settling", func(t *testing.T, f fixture) {
		n := time.Now()
		c, _, err := f.Register(t.Context(), a, true)
		is.New(t).NoErr(err)
		is.New(t).Equal(c, a)
		is.New(t).Equal(time.Since(n), time.Duration(0))
		checkRegister(t, f, b, a, nil)
		is.New(t).Equal(time.Since(n), settle)
	})
	run(t, "a pending registration fails when the shard moves", func(t *testing.T, f fixture) {
		time.AfterFunc(settle/2, f.Close)
		_, _, err := f.Register(context.Background(), a, false)
		var u *sardineknot.UnavailableError
		is.New(t).True(errors.As(err, &u))
	})
}

func TestShardIsBounded(t *testing.T) {
	run(t, "a full shard rejects records until some have expired", func(t *testing.T, f fixture) {
		var err error
		n := 0
		for ; err == nil; n++ {
			_, _, err = f.Register(t.Context(), record(fmt.Sprint(n), "h1", 0), false)
		}
		var u *sardineknot.UnavailableError
		is.New(t).True(errors.As(err, &u))
		for i := range n {
			f.Forget(record(fmt.Sprint(i), "h1", 0))
		}
		time.Sleep(time.Hour)
		r := record("new", "h1", 0)
		checkRegister(t, f, r, r, nil)
	})
}
