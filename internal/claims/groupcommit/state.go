package groupcommit

import (
	"sardineknot.example/sardineknot"
)

// state is the content of a shard at one revision of its head.
type state struct {
	// revision is the revision of the head key. Zero means that the key is
	// absent.
	revision sardineknot.StoreRevision
	// sequence is the sequence number of the head.
	sequence uint64
	// archives is ordered by sequence.
	archives []archive
	// head holds the records that are not archived yet.
	head *bucket
}

// archive is an archived bucket with the sequence number of the last head that
// held it.
type archive struct {
	sequence uint64
	bucket   *bucket
}

// decision holds the results of a group of operations, decided against one
// state.
type decision struct {
	// results holds one result for each operation.
	results []sardineknot.ClaimResult
	// added holds the records that the group adds to the shard.
	added []record
}

// decide decides the operations of group in order, without changing s.
func (s *state) decide(group []operation) decision {
	var d decision
	a := newBucket(nil, 0)
	for _, o := range group {
		p, n := s.decideOne(o.record, a)
		d.results = append(d.results, p)
		if n {
			a.byKey[o.record.key] = append(a.byKey[o.record.key], len(a.records))
			a.records = append(a.records, o.record)
		}
	}
	d.added = a.records
	return d
}

// decideOne returns the result of the operation with the record requested.
// recorded reports whether the record must be added to the shard. added holds
// the records that earlier operations of the group add.
func (s *state) decideOne(requested record, added *bucket) (result sardineknot.ClaimResult, recorded bool) {
	var l []record
	for _, a := range s.archives {
		l = a.bucket.appendRecords(l, requested.key)
	}
	l = s.head.appendRecords(l, requested.key)
	l = added.appendRecords(l, requested.key)
	h, r := replay(l, requested)
	switch {
	case requested.released:
		return result, !r
	case h != nil:
		return sardineknot.ClaimResult{Granted: h.sameAttempt(requested), Holder: h.holder, HolderIncarnation: h.incarnation}, false
	case r:
		return result, false
	default:
		return sardineknot.ClaimResult{Granted: true, Holder: requested.holder, HolderIncarnation: requested.incarnation}, true
	}
}

// replay applies records in order and returns the claim that is in force after
// the last one, or nil if there is none. All records must have the same key.
// released reports whether one of them releases the attempt that the record
// requested belongs to.
func replay(records []record, requested record) (holder *record, released bool) {
	for i, r := range records {
		if !r.released {
			holder = &records[i]
			continue
		}
		if holder != nil && holder.sameAttempt(r) {
			holder = nil
		}
		released = released || r.sameAttempt(requested)
	}
	return holder, released
}
