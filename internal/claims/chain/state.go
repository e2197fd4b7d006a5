package chain

import (
	"sardineknot.example/sardineknot"
)

// state is the content of a shard at one revision of its head.
type state struct {
	// revision is that of the head key. Zero means that the key is absent.
	revision sardineknot.StoreRevision
	// sequence is that of the head.
	sequence uint64
	// archives is ordered by sequence.
	archives []archive
	// head holds the records that are not archived yet.
	head *bucket
}

// archive is an archived bucket.
type archive struct {
	sequence uint64
	bucket   *bucket
}

// draft is a group of operations, decided against a state.
type draft struct {
	// results holds one result for each operation.
	results []sardineknot.ClaimResult
	// added holds the records that the group adds.
	added []record
}

// decide decides on a group without changing s.
func (s *state) decide(l []operation) draft {
	var d draft
	a := newBucket(nil, 0)
	for _, o := range l {
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

// decideOne returns the result of o, and whether o becomes a record.
func (s *state) decideOne(o record, added *bucket) (p sardineknot.ClaimResult, recorded bool) {
	var l []record
	for _, a := range s.archives {
		l = a.bucket.find(l, o.key)
	}
	l = s.head.find(l, o.key)
	l = added.find(l, o.key)
	h, r := replay(l, o)
	switch {
	case o.released:
		return p, !r
	case h != nil:
		return sardineknot.ClaimResult{Granted: h.sameAttempt(o), Holder: h.holder, HolderIncarnation: h.incarnation}, false
	case r:
		return p, false
	default:
		return sardineknot.ClaimResult{Granted: true, Holder: o.holder, HolderIncarnation: o.incarnation}, true
	}
}

// replay returns the claim that the records l of one key leave in force, or
// nil, and whether the attempt of o was released.
func replay(l []record, o record) (holder *record, released bool) {
	for i, r := range l {
		if !r.released {
			holder = &l[i]
			continue
		}
		if holder != nil && holder.sameAttempt(r) {
			holder = nil
		}
		released = released || r.sameAttempt(o)
	}
	return holder, released
}
