package twirp

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/versions"
)

// service serves the records of this host to other hosts.
type service struct {
	directory *Directory
}

var _ rpc.Versions = (*service)(nil)

// Handler returns the handler of requests from other hosts, and the path prefix
// under which it must be registered.
func (d *Directory) Handler() (path string, handler http.Handler) {
	s := rpc.NewVersionsServer(&service{directory: d})
	return s.PathPrefix(), s
}

// Record implements rpc.Versions.
func (s *service) Record(_ context.Context, request *rpc.RecordRequest) (*rpc.RecordResponse, error) {
	s.directory.put(sardineknot.RequestID(request.GetStream()), sardineknot.SoftwareVersion(request.GetVersion()))
	return &rpc.RecordResponse{}, nil
}

// Find implements rpc.Versions.
func (s *service) Find(_ context.Context, request *rpc.FindRequest) (*rpc.FindResponse, error) {
	p := &rpc.FindResponse{}
	v, ok := s.directory.records.get(sardineknot.RequestID(request.GetStream()))
	if ok {
		p.Version = string(v)
		return p, nil
	}
	l, _, _ := s.directory.Keeper.Versions(sardineknot.ServiceName(request.GetService()))
	for _, v := range l {
		p.Seen = append(p.Seen, string(v))
	}
	return p, nil
}

// RecordBatch implements rpc.Versions.
func (s *service) RecordBatch(ctx context.Context, request *rpc.RecordBatchRequest) (*rpc.RecordBatchResponse, error) {
	err := s.directory.Keeper.Write(ctx, request)
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	return &rpc.RecordBatchResponse{}, nil
}
