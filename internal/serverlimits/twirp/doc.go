// Package twirp keeps the requests of all entry hosts together within the limits
// that backend servers name.
//
// The owner of a server's limit, the first host by rendezvous hashing, issues a
// permit for each request to the server. A host that sees a limit begin or end
// reports it to the owner, which passes it on to all others, so that a host that
// sends nothing has it too. A host that cannot reach the owner issues its share
// among the hosts itself.
package twirp
