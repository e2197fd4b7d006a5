package sardineknot

import "net/netip"

// BackendServerName identifies a backend server within a deployment.
type BackendServerName string

// BackendRole tells which work a backend server accepts.
type BackendRole string

// The roles of backend servers.
const (
	// RolePrefill computes the KV cache of prompts.
	RolePrefill BackendRole = "Prefill"
	// RoleDecode generates tokens from an imported KV cache.
	RoleDecode BackendRole = "Decode"
	// RolePlain answers plain service calls.
	RolePlain BackendRole = "Plain"
)

// BackendState is the declared state of a backend server.
type BackendState string

// The declared states of backend servers.
const (
	// BackendJoining accepts new work.
	BackendJoining BackendState = "Joining"
	// BackendLeaving finishes its work and receives nothing new.
	BackendLeaving BackendState = "Leaving"
)

// PieceTokens is the number of tokens in a piece of engine memory.
const PieceTokens = 2000

// BackendServer is an engine or plain service that requests are routed to.
type BackendServer struct {
	// Name is unique within a Configuration.
	Name BackendServerName
	// Address is the address of the server's HTTP interface.
	Address netip.AddrPort
	// Zone is the availability zone of the server.
	Zone AvailabilityZone
	// Role is one of the declared roles.
	Role BackendRole
	// Model and Version name what an engine serves. They are empty for plain
	// services.
	Model   string
	Version string
	// Service names what a plain service offers. For engines it is set if
	// routes name it, and then tells the pool together with Model.
	Service string
	// Slots is the number of requests that the server works on at once. It is
	// positive.
	Slots int
	// MemoryPieces is the number of pieces of PieceTokens that an engine's
	// memory has. Zero means that slots are the only limit.
	MemoryPieces int
	// MemoryTokens is the number of tokens that an engine's memory has. Zero
	// means that it is not known.
	MemoryTokens int
	// EventTokens is the number of tokens in an event of an engine's stream.
	// Zero means one.
	EventTokens int
	// Born tells the lives of a server apart that starts again under its name.
	// Zero means that it is not known.
	Born int64
	// ChecksFencing reports whether the server refuses orders that carry an
	// old fencing number.
	ChecksFencing bool
	// State is the declared state. The zero value is not valid.
	State BackendState
}

// PoolName identifies the engines that serve one version of one model.
type PoolName string

// Pool returns the name of the pool that s belongs to. Plain services form one
// pool for each service.
func (s BackendServer) Pool() PoolName {
	if s.Role == RolePlain {
		return PlainPool(ServiceName(s.Service))
	}
	if s.Service != "" {
		return ServicePool(ServiceName(s.Service), s.Model)
	}
	return EnginePool(s.Model, s.Version)
}

// PlainPool returns the name of the pool of plain services that offer service.
func PlainPool(service ServiceName) PoolName { return PoolName("service/" + string(service)) }

// ServicePool returns the name of the pool of engines that serve a model for
// the routes of a service.
func ServicePool(service ServiceName, model string) PoolName {
	return PoolName("engines/" + string(service) + "/" + model)
}

// EnginePool returns the name of the pool of engines for a version of a model.
func EnginePool(model, version string) PoolName {
	return PoolName("model/" + model + "@" + version)
}
