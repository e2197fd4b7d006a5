package declarations

import (
	"fmt"
	"net/netip"

	"github.com/go-json-experiment/json/jsontext"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/operator/hujson"
)

const (
	// maxBackends is the maximum number of backend servers of a deployment.
	maxBackends = 10000
	// maxSlots is the maximum number of slots of a backend server.
	maxSlots = 100000
)

// backends holds the declared backend servers, and the maps that are needed to
// check them and the work that they run.
type backends struct {
	list []sardineknot.BackendServer
	// names and addresses hold the location where each name and address was
	// declared.
	names     map[sardineknot.BackendServerName]location
	addresses map[netip.AddrPort]location
	// joining holds the pool roles in which at least one server accepts new
	// work.
	joining map[poolRole]bool
	// invalid is set if a file that lists backend servers has a problem. The
	// list may then be incomplete, and work is not checked against it.
	invalid bool
}

// location is the location of a value in a document.
type location struct {
	document *hujson.Document
	path     jsontext.Pointer
}

// String returns the file, line and column, as in "file:3:7".
func (p location) String() string { return p.document.Position(p.path) }

// poolRole identifies the servers of a pool that have a certain role.
type poolRole struct {
	pool sardineknot.PoolName
	role sardineknot.BackendRole
}

// readBackends checks the backend servers that file declares and adds them to d.
func (d *directory) readBackends(file *hujson.Document) {
	var v struct {
		BackendServers []sardineknot.BackendServer
	}
	file.Decode(&v)
	file.Require("/BackendServers")
	if len(d.backends.list)+len(v.BackendServers) > maxBackends {
		file.Report("/BackendServers", "too long", fmt.Sprint("at most ", maxBackends, " backend servers in all files"))
		return
	}
	for i, s := range v.BackendServers {
		p := hujson.Element("/BackendServers", i)
		d.checkBackend(file, p, s)
		d.backends.add(file, p, s)
	}
	d.backends.invalid = d.backends.invalid || !file.OK()
}

// checkBackend checks the fields of server, which is declared at pointer in
// file.
func (d *directory) checkBackend(file *hujson.Document, pointer jsontext.Pointer, server sardineknot.BackendServer) {
	if file.Require(pointer.AppendToken("Name")) {
		file.CheckName(pointer.AppendToken("Name"), string(server.Name))
	}
	if file.Require(pointer.AppendToken("Address")) {
		file.CheckAddress(pointer.AppendToken("Address"), server.Address)
	}
	d.deployment.checkZone(file, pointer.AppendToken("Zone"), server.Zone)
	switch server.Role {
	case sardineknot.RolePrefill, sardineknot.RoleDecode:
		checkRequired(file, pointer, map[string]string{"Model": server.Model, "Version": server.Version})
		checkForbidden(file, pointer, "Service")
	case sardineknot.RolePlain:
		checkRequired(file, pointer, map[string]string{"Service": server.Service})
		checkForbidden(file, pointer, "Model", "Version")
	default:
		file.ReportValue(pointer.AppendToken("Role"), server.Role, `"Prefill", "Decode" or "Plain"`)
	}
	if server.Slots < 1 || server.Slots > maxSlots {
		file.ReportValue(pointer.AppendToken("Slots"), server.Slots, fmt.Sprint("1 to ", maxSlots))
	}
	if server.State != sardineknot.BackendJoining && server.State != sardineknot.BackendLeaving {
		file.ReportValue(pointer.AppendToken("State"), server.State, `"Joining" or "Leaving"`)
	}
}

// checkRequired checks that the object at pointer has every field in values,
// which holds decoded values by field name, and that these are valid names.
func checkRequired(file *hujson.Document, pointer jsontext.Pointer, values map[string]string) {
	for f, v := range values {
		if file.Require(pointer.AppendToken(f)) {
			file.CheckName(pointer.AppendToken(f), v)
		}
	}
}

// checkForbidden checks that the object at pointer has none of the given
// fields.
func checkForbidden(file *hujson.Document, pointer jsontext.Pointer, fields ...string) {
	for _, f := range fields {
		if file.Has(pointer.AppendToken(f)) {
			file.Report(pointer.AppendToken(f), "set", "no such field for this Role")
		}
	}
}

// add adds server, which is declared at pointer in file. It records a problem if
// an earlier server has the same name or address.
func (b *backends) add(file *hujson.Document, pointer jsontext.Pointer, server sardineknot.BackendServer) {
	if b.names == nil {
		b.names = make(map[sardineknot.BackendServerName]location)
		b.addresses = make(map[netip.AddrPort]location)
		b.joining = make(map[poolRole]bool)
	}
	b.list = append(b.list, server)
	if server.State == sardineknot.BackendJoining {
		b.joining[poolRole{server.Pool(), server.Role}] = true
	}
	n := location{file, pointer.AppendToken("Name")}
	if w, ok := b.names[server.Name]; ok && server.Name != "" {
		file.ReportValue(n.path, server.Name, "a name other than that at "+w.String())
	}
	b.names[server.Name] = n
	a := location{file, pointer.AppendToken("Address")}
	if w, ok := b.addresses[server.Address]; ok && server.Address.IsValid() {
		file.ReportValue(a.path, server.Address, "an address other than that at "+w.String())
	}
	b.addresses[server.Address] = a
}

// unmetRequirement describes the first kind of server that work needs and that
// no backend server in the state Joining provides. It returns the empty string
// if all needed servers are provided.
func (b *backends) unmetRequirement(work sardineknot.Work) string {
	if work.Kind == sardineknot.WorkService {
		p := sardineknot.BackendServer{Role: sardineknot.RolePlain, Service: work.Service}.Pool()
		if !b.joining[poolRole{p, sardineknot.RolePlain}] {
			return "a plain service in the state Joining"
		}
		return ""
	}
	p := sardineknot.EnginePoolName(work.Model, work.Version)
	for _, r := range []sardineknot.BackendRole{sardineknot.RolePrefill, sardineknot.RoleDecode} {
		if !b.joining[poolRole{p, r}] {
			return fmt.Sprintf("an engine with the role %s in the state Joining", r)
		}
	}
	return ""
}
