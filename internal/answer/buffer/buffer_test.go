package buffer_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/buffer"
)

const grace = time.Second

// run runs f in a synctest bubble with an answer of three tokens. abandoned is
// closed when the answer is abandoned.
func run(t *testing.T, name string, f func(t *testing.T, b *buffer.Buffer, abandoned <-chan struct{})) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := make(chan struct{})
			b := buffer.NewBuffer(sardineknot.RequestKey{Account: "a", ID: "1"}, grace, func() { close(c) }, nil)
			for i := range 3 {
				is.New(t).NoErr(b.Append(sardineknot.Token{Index: i}))
			}
			f(t, b, c)
			b.End(io.EOF)
		})
	})
}

func isClosed(c <-chan struct{}) bool {
	synctest.Wait()
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func TestBuffer(t *testing.T) {
	run(t, "rejects a token out of order", func(t *testing.T, b *buffer.Buffer, _ <-chan struct{}) {
		var i *sardineknot.InterruptedError
		is.New(t).True(errors.As(b.Append(sardineknot.Token{Index: 2}), &i))
		is.New(t).True(errors.As(b.Append(sardineknot.Token{Index: 4}), &i))
		is.New(t).Equal(b.Len(), 3)
	})
	run(t, "a later delivery ends the earlier one", func(t *testing.T, b *buffer.Buffer, _ <-chan struct{}) {
		d := b.Attach()
		e := make(chan error, 1)
		go func() {
			_, err := b.Next(t.Context(), d, 3)
			e <- err
		}()
		synctest.Wait()
		n := b.Attach()
		var p *sardineknot.DeliveryTakenOverError
		is.New(t).True(errors.As(<-e, &p))
		k, err := b.Next(t.Context(), n, 1)
		is.New(t).NoErr(err)
		is.New(t).Equal(k.Index, 1)
	})
	run(t, "abandons an answer without a delivery", func(t *testing.T, b *buffer.Buffer, c <-chan struct{}) {
		d := b.Attach()
		time.Sleep(10 * grace)
		is.New(t).True(!isClosed(c))
		b.Detach(d)
		time.Sleep(grace - time.Nanosecond)
		is.New(t).True(!isClosed(c))
		time.Sleep(time.Nanosecond)
		is.New(t).True(isClosed(c))
	})
	run(t, "continues with the tokens of an earlier answer", func(t *testing.T, b *buffer.Buffer, _ <-chan struct{}) {
		n := buffer.NewBuffer(sardineknot.RequestKey{}, time.Hour, func() {}, nil)
		n.CopyFrom(b)
		is.New(t).NoErr(n.Append(sardineknot.Token{Index: 3}))
		is.New(t).Equal(n.Len(), 4)
		is.New(t).Equal(b.Len(), 3)
		n.End(io.EOF)
	})
}

func TestBufferChecks(t *testing.T) {
	t.Run("delivers nothing if the check fails", func(t *testing.T) {
		f := &sardineknot.DeliveryTakenOverError{}
		b := buffer.NewBuffer(sardineknot.RequestKey{}, time.Hour, func() {}, func(context.Context) error { return f })
		b.End(io.EOF)
		_, err := b.Next(t.Context(), b.Attach(), 0)
		var d *sardineknot.DeliveryTakenOverError
		is.New(t).True(errors.As(err, &d))
	})
	t.Run("does not deliver lost tokens", func(t *testing.T) {
		b := buffer.NewBuffer(sardineknot.RequestKey{}, time.Hour, func() {}, nil)
		b.StartAt(5)
		is.New(t).NoErr(b.Append(sardineknot.Token{Index: 5}))
		_, err := b.Next(t.Context(), b.Attach(), 4)
		var l *sardineknot.AnswerLostError
		is.New(t).True(errors.As(err, &l))
	})
}
