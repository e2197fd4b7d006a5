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
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := f.probeInstance(ctx, server)
	if err == nil {
		return response, nil
	}
	response.Body.Close()
	return nil, errors.WithStack(&sardineknot.UnavailableError{
		Peer: string(server.Name), Cause: &sardineknot.UnconfirmedInstanceError{Server: server.Name, Cause: err},
	})
}

// probeInstance fails unless the process that server describes answers a query. A server that
// accepts no queries is not queried.
func (f *Forwarder) probeInstance(ctx context.Context, server sardineknot.BackendServer) error {
	if !f.MayQuery(server) {
		return errors.New("the server accepts no requests")
	}
	return f.Prober.Probe(ctx, server, f.healthPath(server))
}
