package sardineknot

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"sync"
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
	// servers finds the elements of BackendServers. It is nil unless SetServers was
	// called, and not used if BackendServers was replaced since.
	servers *serverIndex
}

// ServerPool holds the backend servers of one pool. It is immutable.
type ServerPool struct {
	// Servers holds all servers of the pool, ordered by name.
	Servers []BackendServer
	// Accepting holds those of Servers that accept new work.
	Accepting []BackendServer
}

// serverIndex finds the elements of a list of backend servers.
type serverIndex struct {
	// list is the list that was indexed.
	list  []BackendServer
	pools map[PoolName]*ServerPool

	addressesOnce sync.Once
	// addresses holds the positions in list by address. It is built at first use.
	addresses map[netip.AddrPort]int
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

// SetServers sets BackendServers to servers, which must be ordered by name and not
// be modified afterwards, and indexes them. Pools that are the same in previous,
// which may be nil, are shared with it, so that Pool returns the same pointer.
func (c *Configuration) SetServers(servers []BackendServer, previous *Configuration) {
	c.BackendServers = servers
	c.servers = &serverIndex{list: servers, pools: make(map[PoolName]*ServerPool)}
	var o map[PoolName]*ServerPool
	if previous != nil && previous.servers != nil {
		o = previous.servers.pools
	}
	for _, g := range groupByPool(servers) {
		n := servers[g[0]].Pool()
		c.servers.pools[n] = o[n].orNew(servers, g)
	}
}

// poolKey has the fields of a backend server that determine its pool.
type poolKey struct {
	plain                   bool
	service, model, version string
}

// groupByPool returns the positions in servers of the servers of each pool.
func groupByPool(servers []BackendServer) [][]int {
	m := make(map[poolKey]int)
	var r [][]int
	for i := range servers {
		b := &servers[i]
		k := poolKey{plain: b.Role == RolePlain, service: b.Service}
		if !k.plain {
			k.model = b.Model
		}
		if !k.plain && b.Service == "" {
			k.version = b.Version
		}
		g, ok := m[k]
		if !ok {
			g = len(r)
			m[k] = g
			r = append(r, nil)
		}
		r[g] = append(r[g], i)
	}
	return r
}

// orNew returns p if it holds the servers at the given positions of list, and a new
// pool otherwise. p may be nil.
func (p *ServerPool) orNew(list []BackendServer, positions []int) *ServerPool {
	if p.holds(list, positions) {
		return p
	}
	s := make([]BackendServer, 0, len(positions))
	for _, i := range positions {
		s = append(s, list[i])
	}
	return newServerPool(s)
}

// holds reports whether p holds the servers at the given positions of list.
func (p *ServerPool) holds(list []BackendServer, positions []int) bool {
	if p == nil || len(p.Servers) != len(positions) {
		return false
	}
	for i, j := range positions {
		if p.Servers[i] != list[j] {
			return false
		}
	}
	return true
}

func newServerPool(servers []BackendServer) *ServerPool {
	p := &ServerPool{Servers: servers, Accepting: servers}
	if slices.ContainsFunc(servers, func(b BackendServer) bool { return b.State != BackendJoining }) {
		p.Accepting = nil
		for _, b := range servers {
			if b.State == BackendJoining {
				p.Accepting = append(p.Accepting, b)
			}
		}
	}
	return p
}

// index returns the index of BackendServers, or nil if there is none.
func (c *Configuration) index() *serverIndex {
	i := c.servers
	if i == nil || len(i.list) != len(c.BackendServers) || len(i.list) > 0 && &i.list[0] != &c.BackendServers[0] {
		return nil
	}
	return i
}

// Pools returns the pools of all backend servers. The result must not be modified.
func (c *Configuration) Pools() map[PoolName]*ServerPool {
	if i := c.index(); i != nil {
		return i.pools
	}
	m := make(map[PoolName][]BackendServer)
	for _, b := range c.BackendServers {
		m[b.Pool()] = append(m[b.Pool()], b)
	}
	r := make(map[PoolName]*ServerPool, len(m))
	for n, l := range m {
		r[n] = newServerPool(l)
	}
	return r
}

// AcceptingServers returns the backend servers of pool that accept new work,
// ordered by name. The result must not be modified.
func (c *Configuration) AcceptingServers(pool PoolName) []BackendServer {
	if i := c.index(); i != nil {
		p := i.pools[pool]
		if p == nil {
			return nil
		}
		return slices.Clip(p.Accepting)
	}
	var r []BackendServer
	for _, s := range c.BackendServers {
		if s.Pool() == pool && s.State == BackendJoining {
			r = append(r, s)
		}
	}
	return r
}

// Server returns the backend server called name. ok is false if there is none.
func (c *Configuration) Server(name BackendServerName) (server BackendServer, ok bool) {
	if c.index() != nil {
		i, ok := slices.BinarySearchFunc(c.BackendServers, name, func(b BackendServer, n BackendServerName) int { return cmp.Compare(b.Name, n) })
		if !ok {
			return BackendServer{}, false
		}
		return c.BackendServers[i], true
	}
	return c.findServer(func(b *BackendServer) bool { return b.Name == name })
}

// ServerAt returns the backend server at address. ok is false if there is none. If
// there are several, it returns the first by name.
func (c *Configuration) ServerAt(address netip.AddrPort) (server BackendServer, ok bool) {
	x := c.index()
	if x == nil {
		return c.findServer(func(b *BackendServer) bool { return b.Address == address })
	}
	x.addressesOnce.Do(x.indexAddresses)
	i, ok := x.addresses[address]
	if !ok {
		return BackendServer{}, false
	}
	return x.list[i], true
}

func (x *serverIndex) indexAddresses() {
	x.addresses = make(map[netip.AddrPort]int, len(x.list))
	for i := len(x.list) - 1; i >= 0; i-- {
		x.addresses[x.list[i].Address] = i
	}
}

// findServer returns the first server for which match returns true.
func (c *Configuration) findServer(match func(*BackendServer) bool) (BackendServer, bool) {
	for i := range c.BackendServers {
		if match(&c.BackendServers[i]) {
			return c.BackendServers[i], true
		}
	}
	return BackendServer{}, false
}

// ConfigurationSource provides the configuration in force on this host.
type ConfigurationSource interface {
	// Current returns the configuration in force. It never returns nil.
	Current() *Configuration
	// Changed returns a channel that is closed at the next change of the
	// configuration in force.
	Changed() <-chan struct{}
}
