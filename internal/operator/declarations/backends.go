package declarations

import (
	"fmt"
	"net/netip"

	"github.com/go-json-experiment/json/jsontext"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/operator/hujson"
)

const (
	// maxBackends bounds the backend servers of a deployment.
	maxBackends = 10000
	// maxSlots bounds the slots of a backend server.
	maxSlots = 100000
)

// backends are the declared backend servers.
type backends struct {
	list []sardineknot.BackendServer
	// names and addresses hold where each was declared.
	names     map[sardineknot.BackendServerName]place
	addresses map[netip.AddrPort]place
	// joining holds the roles in each pool that have a server which accepts
	// new work.
	joining map[member]bool
	// broken reports that a file has a problem, so that work cannot be checked
	// against the servers.
	broken bool
}

// place is where a value stands.
type place struct {
	document *hujson.Document
	pointer  jsontext.Pointer
}

// String returns the place as in "file:3:7".
func (p place) String() string { return p.document.Position(p.pointer) }

// member is a role in a pool.
type member struct {
	pool sardineknot.PoolName
	role sardineknot.BackendRole
}

// readBackends adds the backend servers in o.
func (d *directory) readBackends(o *hujson.Document) {
	var v struct {
		BackendServers []sardineknot.BackendServer
	}
	o.Decode(&v)
	o.Require("/BackendServers")
	if len(d.backends.list)+len(v.BackendServers) > maxBackends {
		o.Problem("/BackendServers", "too long", fmt.Sprint("at most ", maxBackends, " backend servers in all files"))
		return
	}
	for i, s := range v.BackendServers {
		p := hujson.Item("/BackendServers", i)
		d.checkBackend(o, p, s)
		d.backends.add(o, p, s)
	}
	d.backends.broken = d.backends.broken || !o.OK()
}

func (d *directory) checkBackend(o *hujson.Document, p jsontext.Pointer, s sardineknot.BackendServer) {
	if o.Require(p.AppendToken("Name")) {
		o.CheckName(p.AppendToken("Name"), string(s.Name))
	}
	if o.Require(p.AppendToken("Address")) {
		o.CheckAddress(p.AppendToken("Address"), s.Address)
	}
	d.deployment.checkZone(o, p.AppendToken("Zone"), s.Zone)
	switch s.Role {
	case sardineknot.RolePrefill, sardineknot.RoleDecode:
		checkSet(o, p, map[string]string{"Model": s.Model, "Version": s.Version})
		checkUnset(o, p, "Service")
	case sardineknot.RolePlain:
		checkSet(o, p, map[string]string{"Service": s.Service})
		checkUnset(o, p, "Model", "Version")
	default:
		o.Value(p.AppendToken("Role"), s.Role, `"Prefill", "Decode" or "Plain"`)
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		o.Value(p.AppendToken("Slots"), s.Slots, fmt.Sprint("1 to ", maxSlots))
	}
	if s.State != sardineknot.BackendJoining && s.State != sardineknot.BackendLeaving {
		o.Value(p.AppendToken("State"), s.State, `"Joining" or "Leaving"`)
	}
}

func checkSet(o *hujson.Document, p jsontext.Pointer, m map[string]string) {
	for f, v := range m {
		if o.Require(p.AppendToken(f)) {
			o.CheckName(p.AppendToken(f), v)
		}
	}
}

func checkUnset(o *hujson.Document, p jsontext.Pointer, fields ...string) {
	for _, f := range fields {
		if o.Has(p.AppendToken(f)) {
			o.Problem(p.AppendToken(f), "set", "no such field for this Role")
		}
	}
}

// add adds s, which is declared at p of o.
func (b *backends) add(o *hujson.Document, p jsontext.Pointer, s sardineknot.BackendServer) {
	if b.names == nil {
		b.names = make(map[sardineknot.BackendServerName]place)
		b.addresses = make(map[netip.AddrPort]place)
		b.joining = make(map[member]bool)
	}
	b.list = append(b.list, s)
	if s.State == sardineknot.BackendJoining {
		b.joining[member{s.Pool(), s.Role}] = true
	}
	n := place{o, p.AppendToken("Name")}
	if w, ok := b.names[s.Name]; ok && s.Name != "" {
		o.Value(n.pointer, s.Name, "a name other than that at "+w.String())
	}
	b.names[s.Name] = n
	a := place{o, p.AppendToken("Address")}
	if w, ok := b.addresses[s.Address]; ok && s.Address.IsValid() {
		o.Value(a.pointer, s.Address, "an address other than that at "+w.String())
	}
	b.addresses[s.Address] = a
}

// missing returns what work w needs and no backend server that accepts new
// work offers, or the empty string.
func (b *backends) missing(w sardineknot.Work) string {
	if w.Kind == sardineknot.WorkService {
		p := sardineknot.BackendServer{Role: sardineknot.RolePlain, Service: w.Service}.Pool()
		if !b.joining[member{p, sardineknot.RolePlain}] {
			return "a plain service that is joining"
		}
		return ""
	}
	p := sardineknot.EnginePoolName(w.Model, w.Version)
	for _, r := range []sardineknot.BackendRole{sardineknot.RolePrefill, sardineknot.RoleDecode} {
		if !b.joining[member{p, r}] {
			return fmt.Sprintf("an engine with the role %s that is joining", r)
		}
	}
	return ""
}
