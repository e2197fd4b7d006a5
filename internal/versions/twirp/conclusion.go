package twirp

import (
	"context"

	"sardineknot.example/sardineknot"
)

// conclusion holds what is recorded of the versions that may have begun an unknown stream.
type conclusion struct {
	// versions lists those that this host or others have seen or read.
	versions []sardineknot.SoftwareVersion
	// read is set if the keys of the key-value service were read, and current if its latest
	// changes were.
	read, current bool
	// complete is set if versions has one element, and no other version was recorded only by
	// hosts that were killed.
	complete bool
	// split is set if services of the route have different versions, and moved if the route was
	// split in another way when the stream may have begun, among services of different
	// versions.
	split, moved bool
}

// only returns the version that began the stream. ok is false if several versions may have
// begun it.
func (c conclusion) only() (version sardineknot.SoftwareVersion, ok bool) {
	if !c.read || !c.current || !c.complete || c.moved || len(c.versions) != 1 {
		return "", false
	}
	return c.versions[0], true
}

// conclude returns what can be told of a stream of route, whose identifier selects service,
// after latest, a read of the changes of the key-value service. seen lists the versions of
// service that other hosts have seen.
func (d *Directory) conclude(ctx context.Context, latest *refresh, route *sardineknot.Route, service sardineknot.ServiceName, seen []sardineknot.SoftwareVersion) conclusion {
	c := conclusion{current: latest.current()}
	if d.awaitServers(ctx, service) {
		c.current = d.refresh(ctx).current()
	}
	l, k, _ := d.Keeper.Versions(service)
	c.versions, c.read = union(l, seen), k
	n := d.Clock.Now().Add(-d.streamTime())
	o, _ := d.versionsOf(d.routes.services(n, route))
	c.split = len(o) > 1
	c.moved = c.split && d.routes.movedSince(n, route)
	if len(c.versions) == 1 {
		c.complete, _ = d.Keeper.Complete(service, c.versions[0])
	}
	return c
}

// awaitServers waits until all servers of service have had the time to register again, if the
// key-value service was restored from an older copy while no host ran. It reports whether it
// has waited.
func (d *Directory) awaitServers(ctx context.Context, service sardineknot.ServiceName) bool {
	l, _, _ := d.Keeper.Versions(service)
	if len(l) != 1 {
		return false
	}
	_, w := d.Keeper.Complete(service, l[0])
	return w > 0 && pause(ctx, w)
}
