package events_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// closedWriter is a fake response writer whose caller takes no more.
type closedWriter struct{ writer }

func (*closedWriter) Write([]byte) error { return io.ErrClosedPipe }

// TestAwaitedEngine guards against an engine that gives no whole answer and is not found,
// because its callers leave, and against one that is blamed for a caller that takes no
// more of its answer.
func TestAwaitedEngine(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer answer
		writer sardineknot.AnswerWriter
		server sardineknot.BackendServerName
	}{
		{"no header", answer{status: 200, body: one, delay: 5 * time.Second}, &writer{}, "d"},
		{"no further event", answer{status: 200, body: one, silent: true}, &writer{}, "d"},
		{"the caller takes no more", answer{status: 200, body: one + two}, &closedWriter{}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(500*time.Millisecond, cancel)
				s := &slots{decode: []sardineknot.BackendServerName{"d"}}
				err := newRunner(&engines{answers: []answer{c.answer}}, s).Run(ctx, newCall(false), c.writer)
				is.True(err != nil)
				is.Equal(s.last.Kind, sardineknot.JobCancelled)
				is.Equal(s.last.Server, c.server)
				is.Equal(s.cancelledJobs(), 1)
			})
		})
	}
}
