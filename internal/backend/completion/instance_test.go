package completion_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

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
	t.Run("no query for a call that is no stream", func(t *testing.T) {
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

// begin begins a stream on a process of s that started at born. Whether it may resume is
// resumable. It returns how often the configuration was refreshed, and the error.
func (s *server) begin(t *testing.T, born int64, resumable bool) (refreshes int, err error) {
	f := s.forwarder()
	f.Refresh = func(context.Context) error { refreshes++; return nil }
	c := &sardineknot.Call{ID: "c", Route: &sardineknot.Route{Kind: sardineknot.RouteStream, Resumable: resumable}, Generation: &sardineknot.Generation{}}
	_, err = f.Forward(t.Context(), sardineknot.BackendServer{Name: "s", Born: born}, c, sardineknot.ForwardOptions{})
	return refreshes, err
}

// TestBeginInstance guards against streams whose record has the software version of the
// process before the one that began them, so that another engine goes on at that version.
func TestBeginInstance(t *testing.T) {
	another := &sardineknot.InstanceError{Server: "s"}
	t.Run("one query if the process is the expected one", func(t *testing.T) {
		s := &server{framing: sardineknot.FramingChunks}
		n, err := s.begin(t, 7, true)
		is.New(t).NoErr(err)
		is.New(t).Equal(s.probes, 1)
		is.New(t).Equal(n, 0)
	})
	t.Run("no stream from another process, and the latest changes before the next try", func(t *testing.T) {
		s := &server{framing: sardineknot.FramingChunks, probeErr: another}
		n, err := s.begin(t, 7, true)
		assertAnother(t, err)
		is.New(t).Equal(s.probes, 1)
		is.New(t).Equal(n, 1)
	})
	t.Run("no query for a stream that may not resume", func(t *testing.T) {
		s := &server{framing: sardineknot.FramingChunks, probeErr: another}
		_, err := s.begin(t, 7, false)
		is.New(t).NoErr(err)
		is.New(t).Equal(s.probes, 0)
	})
	t.Run("no query if the start of the process is unknown, or the server accepts none", func(t *testing.T) {
		for _, s := range []*server{{probeErr: another}, {probeErr: another, limited: true}} {
			b := int64(0)
			if s.limited {
				b = 7
			}
			_, err := s.begin(t, b, true)
			is.New(t).NoErr(err)
			is.New(t).Equal(s.probes, 0)
		}
	})
	for _, e := range []error{&sardineknot.RefusedError{Server: "s", Status: 503}, context.DeadlineExceeded} {
		t.Run("a sound server that answers no query begins the stream soon: "+e.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, b := &server{framing: sardineknot.FramingChunks, probeErr: e}, time.Now()
				_, err := s.begin(t, 7, true)
				is.New(t).NoErr(err)
				is.New(t).True(time.Since(b) <= 100*time.Millisecond)
			})
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
