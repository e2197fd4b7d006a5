// Package twirp shares the evidence of requests that crash servers among
// all entry hosts over Twirp.
//
// Requests with such a part come at any host, so each host sees only some of the
// crashes. A host sends what it has learned to all others at once, and each host
// judges by itself. A host that has started, or was paused or cut off, gets the
// rest by asking another host from time to time. Nothing is kept beyond the
// memory of the hosts.
package twirp
