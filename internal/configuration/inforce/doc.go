// Package inforce queries other entry hosts for the operators' configuration in force.
//
// The platform's key-value service may be restored from an older copy, with an older
// configuration in which withdrawn keys and dropped routes are in force. Hosts that
// run keep the newer one. A host that had not read the newer one yet gets it from the
// others. So does a host that starts, which may read from a host that is behind.
package inforce
