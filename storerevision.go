package sardineknot

import "cmp"

// StoreEra counts how often the platform's key-value service came back from an
// older copy of itself. Revisions and leases that it gives out afterwards may
// have the numbers of earlier ones, which it no longer has.
type StoreEra int64

// StoreRevision is the revision of a key, or of all keys, in the platform's
// key-value service.
type StoreRevision struct {
	// Era is the era in which the revision was given out or, if the key was
	// absent, read.
	Era StoreEra
	// Number orders the revisions of an era. It is zero if and only if the key
	// is absent.
	Number int64
}

// Absent reports whether r is the revision of an absent key.
func (r StoreRevision) Absent() bool { return r.Number == 0 }

// Compare returns -1 if r is older than other, 0 if both are equal, and 1 if r
// is newer. Numbers are compared only within an era; a later era is newer.
func (r StoreRevision) Compare(other StoreRevision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Later returns the newer one of r and other.
func (r StoreRevision) Later(other StoreRevision) StoreRevision {
	if r.Compare(other) < 0 {
		return other
	}
	return r
}

// LeaseID identifies a lease in the platform's key-value service. The zero value
// means no lease.
type LeaseID struct {
	// Era is the era in which the lease was granted. The service may grant
	// Number to another client in a later era.
	Era    StoreEra
	Number int64
}
