package sardineknot

import (
	"slices"
	"strings"
)

// Revision numbers accepted configurations. Each accepted configuration has a
// greater revision than the one it replaces.
type Revision int64

// Configuration is an accepted configuration in compiled form. It is immutable
// and safe for concurrent use.
type Configuration struct {
	// Revision is at least 1 for an accepted configuration. Zero marks the
	// empty configuration of a host that has not received one yet.
	Revision Revision
	// Contracts is ordered by account.
	Contracts []Contract
	// BackendServers is ordered by name.
	BackendServers []BackendServer
	// Links holds at most one entry for each unordered pair of zones.
	Links []Link
	// Routes map callers' requests to services, by host name and path.
	Routes []Route
	// Services holds the services that the routes refer to.
	Services []Service
	// CallerLimits limits the size and the duration of what callers send.
	CallerLimits CallerLimits
	// Accounts holds the client accounts whose callers identify themselves by keys,
	// ordered by name. If it is empty, calls carry no keys. It is set by SetAccounts.
	Accounts []ClientAccount

	// accountsByKey holds the indexes in Accounts by key.
	accountsByKey map[KeyDigest]int
}

// Contract returns the contract of account. It fails with an UnknownError if
// there is none.
func (c *Configuration) Contract(account ClientAccountName) (Contract, error) {
	i, ok := slices.BinarySearchFunc(c.Contracts, account, func(contract Contract, account ClientAccountName) int {
		return strings.Compare(string(contract.Account), string(account))
	})
	if !ok {
		return Contract{}, &UnknownError{What: "ClientAccount", Name: string(account)}
	}
	return c.Contracts[i], nil
}

// AcceptingServers returns the backend servers of pool that accept new work,
// ordered by name.
func (c *Configuration) AcceptingServers(pool PoolName) []BackendServer {
	var r []BackendServer
	for _, s := range c.BackendServers {
		if s.Pool() == pool && s.State == BackendJoining {
			r = append(r, s)
		}
	}
	return r
}

// ConfigurationSource provides the configuration in force on this host.
type ConfigurationSource interface {
	// Current returns the configuration in force. It never returns nil.
	Current() *Configuration
	// Changed returns a channel that is closed at the next change of the
	// configuration in force.
	Changed() <-chan struct{}
}
