package httpsd

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
)

// source is a fake ConfigurationSource whose configuration never changes.
type source struct{ c *sardineknot.Configuration }

func (s source) Current() *sardineknot.Configuration { return s.c }
func (source) Changed() <-chan struct{}              { return nil }

func TestOverlay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sardineknot.BackendServer{Name: "decode-1", Model: "m", Version: "1", Role: sardineknot.RoleDecode, State: sardineknot.BackendJoining}
		c := &sardineknot.Configuration{Revision: 1, BackendServers: []sardineknot.BackendServer{s}}
		m := map[sardineknot.BackendServerName]bool{}
		l := make(chan struct{})
		o := &Overlay{
			Source:         source{c},
			LeavingServers: func() map[sardineknot.BackendServerName]bool { return m },
			LeavingChanged: func() <-chan struct{} { return l },
			Log:            zerolog.Nop(),
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go o.Run(ctx)
		synctest.Wait()
		is.New(t).Equal(len(o.Current().AcceptingServers(s.Pool())), 1)
		n := o.Changed()
		m = map[sardineknot.BackendServerName]bool{"decode-1": true}
		l <- struct{}{}
		<-n // Changed must be signaled
		is.New(t).Equal(len(o.Current().AcceptingServers(s.Pool())), 0)
		is.New(t).Equal(c.BackendServers[0].State, sardineknot.BackendJoining) // the accepted configuration is not modified
	})
}
