// Package etcd is a client of the platform's key-value service. It uses the
// JSON mapping of the etcd v3 API.
//
// The revision of a key is its mod_revision. Every call has a timeout, so that
// a call on a connection that no longer responds fails instead of blocking.
// After a failure the idle connections are closed, so that the next call opens
// a new one.
package etcd
