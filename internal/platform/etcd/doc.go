// Package etcd reaches the platform's key-value service through the JSON form
// of the etcd v3 interface.
//
// A key's revision is its mod_revision. Every call carries its own timeout, so
// that a connection that went silent fails instead of blocking; after such a
// failure the idle connections are closed, and the next call opens a new one.
package etcd
