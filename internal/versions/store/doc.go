// Package store keeps the software versions of backend servers, and those that
// began streams, in the platform's key-value service, so that they outlive the
// entry hosts.
//
// Each service has a key with the versions that may have begun streams whose
// callers can still return. One host writes it, the first by rendezvous
// hashing, and all hosts read it with the other changes of the service. A service
// with more than one such version is mixed.
//
// The versions of single streams are written only for mixed services, in segments.
// A segment is a key of one host, which it writes again with each batch of records
// until it begins the next segment. The host that ranks first for segments deletes
// them when they are older than any stream whose caller can return. Only a host
// that does not find a stream elsewhere reads segments.
package store
