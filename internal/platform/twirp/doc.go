// Package twirp spreads the changes of the platform's key-value service among
// the entry hosts, so that only a few of them read the service.
//
// A host that is selected as a follower reads the service itself and serves
// what it has read. All other hosts ask a follower with a call that waits for
// changes. A host that gets no answer, or one from a follower that cannot reach
// the service, asks the next follower. Only if several followers fail in a row
// does it ask the service itself, and then seldom, so that an outage of the
// service or of a zone does not multiply the calls. A follower that the service
// refuses reads from other followers, and serves no host meanwhile.
package twirp
