package completion

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// beginTimeout bounds the confirmation of the process that begins a stream. The first
	// event waits for it.
	beginTimeout = 100 * time.Millisecond
	// refreshTimeout bounds the wait for the changes of the store.
	refreshTimeout = 300 * time.Millisecond
)

// confirmInstance returns response, which begins or resumes a stream, if the process that
// server describes is still running. Otherwise it closes response and fails with an
// UnavailableError, whose cause is an UnconfirmedInstanceError: a process that started again
// under the name of server may have another software version. The process that responded
// started no later than the one that answers the query.
func (f *Forwarder) confirmInstance(ctx context.Context, server sardineknot.BackendServer, call *sardineknot.Call, options sardineknot.ForwardOptions, response *sardineknot.Response) (*sardineknot.Response, error) {
	var err error
	switch {
	case server.Born == 0:
	case options.ResumeAfter > 0:
		err = f.awaitInstance(ctx, server)
	case call.Generation != nil && call.Route.Repeatable() && response.Status == http.StatusOK:
		err = f.checkBegin(ctx, server)
	}
	if err == nil {
		return response, nil
	}
	response.Body.Close()
	return nil, errors.WithStack(&sardineknot.UnavailableError{
		Peer: string(server.Name), Cause: &sardineknot.UnconfirmedInstanceError{Server: server.Name, Cause: err},
	})
}

// checkBegin fails with an InstanceError if another process than that of server is known to
// have begun a stream, whose version would be recorded as that of server. The configuration
// is outdated then, and checkBegin waits until it has the latest changes. A server that does
// not answer within beginTimeout begins the stream.
func (f *Forwarder) checkBegin(ctx context.Context, server sardineknot.BackendServer) error {
	c, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	err := f.awaitInstance(c, server)
	var i *sardineknot.InstanceError
	if !errors.As(err, &i) {
		return nil
	}
	r, stop := context.WithTimeout(ctx, refreshTimeout)
	defer stop()
	_ = f.Refresh(r) // without the changes, the stream may fail again
	return err
}

// awaitInstance queries server until it answers. It fails with an InstanceError if another
// process does, and with another error if none has answered within repeatableTimeout. A server
// that accepts no queries is not queried: its process is that of the present configuration.
func (f *Forwarder) awaitInstance(ctx context.Context, server sardineknot.BackendServer) error {
	err := f.checkInstance(server)
	if err != nil || !f.MayQuery(server) {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, repeatableTimeout)
	defer cancel()
	for {
		_, err := f.query(ctx, server, f.service(server))
		var i *sardineknot.InstanceError
		if err == nil || errors.As(err, &i) || !pause(ctx, retryDelay) {
			return err
		}
	}
}
