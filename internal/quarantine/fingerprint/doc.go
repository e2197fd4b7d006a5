// Package fingerprint identifies requests as a whole, so that a request that comes
// again under a new identifier, at any host, is recognized.
//
// A caller that repeats a request sends the same path and the same body. What
// identifies the caller differs between deployments: the address from which it
// calls, or fields of the header. A request therefore has several
// fingerprints, from the path and the body alone to all that its attempts have in
// common.
package fingerprint
