// Package store keeps quarantines in the platform's key-value service, and the crashes
// that may soon lead to one, so that they outlive the entry hosts.
//
// Each quarantine has a key. One host writes it, the first by rendezvous hashing,
// and writes it again if the service has lost it. All hosts read it with the other
// changes of the service. A key is deleted once its quarantine has no effect any
// more. All crashes are under one key.
package store
