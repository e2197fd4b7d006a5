package sardineknot

import (
	"slices"
	"strings"
)

// Revision orders accepted configurations. It only grows.
type Revision int64

// Configuration is an accepted configuration in compiled form. It is immutable
// and safe for concurrent use.
type Configuration struct {
	// Revision is at least 1 for an accepted configuration. Zero marks the
	// empty configuration of a host that has not learned any.
	Revision Revision
	// Contracts is ordered by account.
	Contracts []Contract
	// BackendServers is ordered by name.
	BackendServers []BackendServer
	// Links holds at most one entry for each unordered pair of zones.
	Links []Link
	// Routes holds what callers may ask for by host and path.
	Routes []Route
	// Services holds what the routes name.
	Services []Service
	// CallerLimits bounds what callers may send.
	CallerLimits CallerLimits
}

// Contract returns the contract of account n, or an UnknownError.
func (c *Configuration) Contract(n ClientAccountName) (Contract, error) {
	i, ok := slices.BinarySearchFunc(c.Contracts, n, func(k Contract, n ClientAccountName) int {
		return strings.Compare(string(k.Account), string(n))
	})
	if !ok {
		return Contract{}, &UnknownError{What: "ClientAccount", Name: string(n)}
	}
	return c.Contracts[i], nil
}

// Pool returns the backend servers of pool p that accept new work, in the
// order of their names.
func (c *Configuration) Pool(p PoolName) []BackendServer {
	var r []BackendServer
	for _, s := range c.BackendServers {
		if s.Pool() == p && s.State == BackendJoining {
			r = append(r, s)
		}
	}
	return r
}

// ConfigurationSource gives the configuration in force on this host.
type ConfigurationSource interface {
	// Current returns the configuration in force. It never returns nil.
	Current() *Configuration
	// Changed returns a channel that is closed when Current next changes.
	Changed() <-chan struct{}
}
