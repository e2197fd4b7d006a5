package completion_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// TestResumedInstance guards against streams that resume on a process that started again under
// the name of the server, with another software version.
func TestResumedInstance(t *testing.T) {
	forward := func(s *server, born int64, after int) error {
		b := sardineknot.BackendServer{Name: "s", Born: born}
		_, err := s.forwarder().Forward(t.Context(), b, safeCall(), sardineknot.ForwardOptions{ResumeAfter: after})
		return err
	}
	another := &sardineknot.InstanceError{Server: "s"}
	t.Run("one query if the process is the expected one", func(t *testing.T) {
		s := &server{framing: sardineknot.FramingChunks}
		is.New(t).NoErr(forward(s, 7, 2))
		is.New(t).Equal(s.probes, 1)
	})
	t.Run("no query at the beginning of a stream", func(t *testing.T) {
		s := &server{framing: sardineknot.FramingChunks, probeErr: another}
		is.New(t).NoErr(forward(s, 7, 0))
		is.New(t).Equal(s.probes, 0)
	})
	t.Run("no query if the start of the process is unknown", func(t *testing.T) {
		s := &server{framing: sardineknot.FramingChunks, probeErr: another}
		is.New(t).NoErr(forward(s, 0, 2))
		is.New(t).Equal(s.probes, 0)
	})
	t.Run("no query if the server accepts no requests", func(t *testing.T) {
		s := &server{framing: sardineknot.FramingChunks, limited: true, probeErr: another}
		is.New(t).NoErr(forward(s, 7, 2))
		is.New(t).Equal(s.probes, 0)
	})
	t.Run("no stream if the configuration has another process", func(t *testing.T) {
		s := &server{framing: sardineknot.FramingChunks, limited: true}
		f := s.forwarder()
		f.Source = restarted{s}
		_, err := f.Forward(t.Context(), sardineknot.BackendServer{Name: "s", Born: 1}, safeCall(), sardineknot.ForwardOptions{ResumeAfter: 2})
		assertAnother(t, err)
	})
	refused := &sardineknot.RefusedError{Server: "s", Status: 421}
	for _, e := range []error{another, refused, context.DeadlineExceeded} {
		t.Run("no stream after "+e.Error(), func(t *testing.T) {
			assertAnother(t, forward(&server{framing: sardineknot.FramingChunks, probeErr: e}, 7, 2))
		})
	}
}

// assertAnother checks that err reports an unconfirmed process, and does not claim that the
// request was refused or late, as the query was.
func assertAnother(t *testing.T, err error) {
	t.Helper()
	var v *sardineknot.UnavailableError
	var c *sardineknot.UnconfirmedInstanceError
	var r *sardineknot.RefusedError
	is := is.New(t)
	is.True(errors.As(err, &v) && errors.As(err, &c))
	is.True(!errors.As(err, &r) && !errors.Is(err, context.DeadlineExceeded))
}
