package completion

import (
	"context"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// confirmInstance returns response, with which a stream resumes, if the process that server
// describes is still running. Otherwise it closes response and fails with an
// UnavailableError, whose cause is an UnconfirmedInstanceError: a process that started again
// under the name of server may have another software version. The process that responded
// started no later than the one that answers the query.
func (f *Forwarder) confirmInstance(ctx context.Context, server sardineknot.BackendServer, response *sardineknot.Response) (*sardineknot.Response, error) {
	err := f.awaitInstance(ctx, server)
	if err == nil {
		return response, nil
	}
	response.Body.Close()
	return nil, errors.WithStack(&sardineknot.UnavailableError{
		Peer: string(server.Name), Cause: &sardineknot.UnconfirmedInstanceError{Server: server.Name, Cause: err},
	})
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
		err := f.query(ctx, server, f.service(server))
		var i *sardineknot.InstanceError
		if err == nil || errors.As(err, &i) || !pause(ctx, retryDelay) {
			return err
		}
	}
}
