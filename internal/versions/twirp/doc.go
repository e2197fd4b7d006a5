// Package twirp keeps the software versions that began streams, and finds them on
// other entry hosts over Twirp.
//
// The host that relays a stream records the version before the first event, and
// sends it to a few other hosts, which rendezvous hashing picks by the stream. A
// host to which the caller of an interrupted stream comes back asks the hosts
// that rank first for it. Records are kept in memory for as long as a caller may
// return, since they are of no use after that.
//
// While the servers of a service have had several versions, hosts also send their
// records to a recorder, which writes them to the platform's key-value service, so
// that they outlive all hosts. While there is a single version, no other host has to
// be queried.
package twirp
