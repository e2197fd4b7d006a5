// Package twirp assigns the calls of plain services to servers for all entry hosts
// together while the servers are contended.
//
// Each host watches its own calls of a service. A sign of contention (a full server,
// or a call that took much longer than usual) is reported to the owner of the
// service, the first host by rendezvous hashing, which notifies all hosts. For some
// seconds they then query the owner for the place of each call. The owner's answers end
// that as soon as its servers have capacity to spare.
//
// Nothing depends on the owner for correctness. A host that gets no answer within
// takeTimeout decides alone, and the place that it may have been granted expires.
package twirp
