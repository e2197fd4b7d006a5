package plain

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/breaker"
)

// assignment is the server that a call goes to, and its place there.
type assignment struct {
	server sardineknot.BackendServer
	place  sardineknot.Place
}

// assign selects a server for c: the one that the owner of the service assigns while
// the servers are contended, and otherwise the one that pick selects.
func (r *Runner) assign(ctx context.Context, c *sardineknot.Call, tried map[sardineknot.BackendServerName]bool) (assignment, error) {
	if r.Places == nil || !r.Places.Contended(c.Service) {
		return r.pickAlone(ctx, c, tried)
	}
	l, x := r.placeable(c, tried)
	var a assignment
	if len(l) > 0 {
		var err error
		a.place, err = r.Places.Take(ctx, c, x)
		if err != nil {
			return a, err
		}
	}
	for _, s := range l {
		if a.place.Server == s.Process() && r.Circuits.Assign(r.Clock.Now(), s.Name) {
			a.server = s
			return a, nil
		}
	}
	if a.place.Server.Name != "" {
		r.Places.Done(a.place, sardineknot.PlaceUnused)
	}
	return r.pickAlone(ctx, c, tried)
}

// pickAlone selects a server as pick does. The servers count as contended if none
// has free capacity.
func (r *Runner) pickAlone(ctx context.Context, c *sardineknot.Call, tried map[sardineknot.BackendServerName]bool) (assignment, error) {
	s, err := r.pick(ctx, c, tried)
	var f *sardineknot.NotRunError
	if r.Places != nil && errors.As(err, &f) && f.Reason == noCapacity {
		r.Places.ReportFull(c.Service)
	}
	return assignment{server: s, place: sardineknot.Place{Service: c.Service, Target: c.Route.Target}}, err
}

// placeable returns the servers to which c may be assigned, and the names of the
// other servers of the service: those that requested a backoff, whose circuit is open or
// that are in tried. Servers in tried may get c again if there is no other.
func (r *Runner) placeable(c *sardineknot.Call, tried map[sardineknot.BackendServerName]bool) (servers []sardineknot.BackendServer, excluded []sardineknot.BackendServerName) {
	n := r.Clock.Now()
	l := r.Source.Current().AcceptingServers(sardineknot.PlainPoolName(c.Service))
	b := make(map[sardineknot.BackendServerName]bool)
	for _, m := range r.Circuits.Blocked(n, l) {
		b[m] = true
	}
	var again []sardineknot.BackendServer
	for _, s := range l {
		switch {
		case b[s.Name] || r.Backoffs.Left(n, s) > 0:
			excluded = append(excluded, s.Name)
		case tried[s.Name]:
			again = append(again, s)
		default:
			servers = append(servers, s)
		}
	}
	if len(servers) == 0 {
		return again, excluded
	}
	for _, s := range again {
		excluded = append(excluded, s.Name)
	}
	return servers, excluded
}

// abandon gives back the place and the call of a, which is not sent.
func (r *Runner) abandon(a assignment) {
	r.Circuits.Done(r.Clock.Now(), a.server.Name, breaker.Abandoned)
	if r.Places != nil && a.place.Server.Name != "" {
		r.Places.Done(a.place, sardineknot.PlaceUnused)
	}
}

// begin records that the call of a is about to be sent.
func (r *Runner) begin(a assignment) assignment {
	if r.Places != nil {
		a.place = r.Places.Begin(a.place, a.server.Process())
	}
	return a
}

// end records that the call of a ended with the outcome o.
func (r *Runner) end(a assignment, o outcome) {
	if r.Places != nil {
		r.Places.Done(a.place, o.place())
	}
}

// place returns what o shows about the place of the call.
func (o outcome) place() sardineknot.PlaceOutcome {
	var f *sardineknot.RefusedError
	switch {
	case o.err == nil:
		return sardineknot.PlaceAnswered
	case errors.As(o.err, &f) && f.Status == http.StatusServiceUnavailable:
		return sardineknot.PlaceRefused
	case o.notAllowed():
		return sardineknot.PlaceUnused
	case !o.mayHaveReached():
		return sardineknot.PlaceUnreached
	case errors.Is(o.err, context.Canceled):
		return sardineknot.PlaceAbandoned
	default:
		return sardineknot.PlaceLost
	}
}
