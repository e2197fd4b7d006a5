package sardineknot

import "net/netip"

// BackendServerName identifies a backend server within a deployment.
type BackendServerName string

// SoftwareVersion identifies a version of the software of backend servers, which
// is independent of the version of the model that they serve.
type SoftwareVersion string

// BackendRole is the kind of work that a backend server accepts.
type BackendRole string

// The roles of backend servers.
const (
	// RolePrefill computes the KV cache of prompts.
	RolePrefill BackendRole = "Prefill"
	// RoleDecode generates tokens from an imported KV cache.
	RoleDecode BackendRole = "Decode"
	// RolePlain serves calls to plain services, which are HTTP services that
	// are not engines.
	RolePlain BackendRole = "Plain"
)

// BackendState is the declared state of a backend server.
type BackendState string

// The declared states of backend servers.
const (
	// BackendJoining marks a server that accepts new work.
	BackendJoining BackendState = "Joining"
	// BackendLeaving marks a server that finishes the work it has and receives
	// no new work.
	BackendLeaving BackendState = "Leaving"
)

// TokensPerMemoryPiece is the number of tokens in one piece of engine memory. A
// piece is the unit in which schedulers account for KV cache memory and match
// prompt prefixes.
const TokensPerMemoryPiece = 2000

// BackendServer is a prefill engine, a decode engine or a plain service to
// which requests are routed.
type BackendServer struct {
	// Name is unique within a Configuration.
	Name BackendServerName
	// Address is the address of the server's HTTP interface.
	Address netip.AddrPort
	// Zone is the availability zone of the server.
	Zone AvailabilityZone
	// Role is the kind of work that the server accepts.
	Role BackendRole
	// Model and Version identify the model that an engine serves. They are
	// empty for plain services.
	Model   string
	Version string
	// SoftwareVersion is the version of the software that the server runs. Parts
	// of answers from servers of different versions do not fit together. It is
	// empty if the version is unknown.
	SoftwareVersion SoftwareVersion
	// Service names the service that a plain service offers. It is set for an
	// engine if routes refer to the engine by service; the engine's pool is
	// then determined by Service and Model.
	Service string
	// Slots is the number of requests that the server processes concurrently.
	// It is positive.
	Slots int
	// MemoryPieces is the memory of an engine, in pieces of
	// TokensPerMemoryPiece tokens. Zero means that only Slots limits the
	// engine.
	MemoryPieces int
	// MemoryTokens is the memory of an engine, in tokens. Zero means that it is
	// unknown.
	MemoryTokens int
	// EventTokens is the number of tokens in one event of an engine's stream.
	// Zero means one.
	EventTokens int
	// Born distinguishes the successive processes that run under the same
	// server name. It changes when the server restarts. Zero means unknown.
	Born int64
	// Sequence increases with each report of the process about itself. It is set by a
	// StoreEntryDecoder only, and zero in a Configuration.
	Sequence int64
	// ChecksFencing reports whether the server rejects an order whose fencing
	// token is smaller than one that it has already seen.
	ChecksFencing bool
	// State declares whether the server accepts new work. The zero value is not
	// valid.
	State BackendState
}

// PoolName identifies a pool of interchangeable backend servers: engines that
// serve one version of a model, engines that serve a model for one service, or
// the plain services that offer one service.
type PoolName string

// Pool returns the name of the pool that s belongs to. All plain services that
// offer the same service form one pool.
func (s BackendServer) Pool() PoolName {
	if s.Role == RolePlain {
		return PlainPoolName(ServiceName(s.Service))
	}
	if s.Service != "" {
		return ServicePoolName(ServiceName(s.Service), s.Model)
	}
	return EnginePoolName(s.Model, s.Version)
}

// PlainPoolName returns the name of the pool of plain services that offer
// service.
func PlainPoolName(service ServiceName) PoolName { return PoolName("service/" + string(service)) }

// ServicePoolName returns the name of the pool of engines that serve model for
// the routes of service.
func ServicePoolName(service ServiceName, model string) PoolName {
	return PoolName("engines/" + string(service) + "/" + model)
}

// EnginePoolName returns the name of the pool of engines that serve one version
// of a model.
func EnginePoolName(model, version string) PoolName {
	return PoolName("model/" + model + "@" + version)
}
