package chain

import (
	"crypto/sha256"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/rpc/claimstore"
)

// digestBytes makes an accidental collision, which would refuse a request that
// never ran, negligible.
const digestBytes = 16

// digest stands for a request key.
type digest [digestBytes]byte

// digestOf separates the parts by a byte that neither of them contains.
func digestOf(k sardineknot.RequestKey) digest {
	h := sha256.Sum256([]byte(string(k.Account) + "\x00" + string(k.ID)))
	return digest(h[:digestBytes])
}

// record is a claim or the release of a claim.
type record struct {
	key         digest
	holder      sardineknot.EntryHostID
	incarnation sardineknot.Incarnation
	nonce       uint64
	released    bool
}

// sameAttempt reports whether r and o are of one attempt.
func (r record) sameAttempt(o record) bool {
	r.released = o.released
	return r == o
}

// bucket is a number of records.
type bucket struct {
	// records are in the order in which they took effect.
	records []record
	// byKey holds the indexes of the records of each key.
	byKey map[digest][]int
	// newest is the time of the last record in seconds since 1970.
	newest int64
}

func newBucket(r []record, newest int64) *bucket {
	b := &bucket{records: r, byKey: make(map[digest][]int), newest: newest}
	for i, e := range r {
		b.byKey[e.key] = append(b.byKey[e.key], i)
	}
	return b
}

// find appends the records of d to l.
func (b *bucket) find(l []record, d digest) []record {
	for _, i := range b.byKey[d] {
		l = append(l, b.records[i])
	}
	return l
}

func (b *bucket) encode() *claimstore.Bucket {
	type life struct {
		id sardineknot.EntryHostID
		n  sardineknot.Incarnation
	}
	p := &claimstore.Bucket{Newest: b.newest}
	m := make(map[life]uint32)
	for _, r := range b.records {
		v := life{r.holder, r.incarnation}
		i, ok := m[v]
		if !ok {
			i = uint32(len(p.Holders))
			m[v] = i
			p.Holders = append(p.Holders, &claimstore.Holder{Id: string(r.holder), Incarnation: uint64(r.incarnation)})
		}
		p.Records = append(p.Records, &claimstore.Record{Key: r.key[:], Holder: i, Nonce: r.nonce, Released: r.released})
	}
	return p
}

// decodeBucket fails with an InvalidError if p breaks the format.
func decodeBucket(p *claimstore.Bucket) (*bucket, error) {
	l := make([]record, 0, len(p.GetRecords()))
	for _, r := range p.GetRecords() {
		if len(r.GetKey()) != digestBytes || int(r.GetHolder()) >= len(p.GetHolders()) {
			return nil, &sardineknot.InvalidError{What: "claim record", Got: r.String(), Expected: "a digest and a known holder"}
		}
		h := p.GetHolders()[r.GetHolder()]
		l = append(l, record{
			key:         digest(r.GetKey()),
			holder:      sardineknot.EntryHostID(h.GetId()),
			incarnation: sardineknot.Incarnation(h.GetIncarnation()),
			nonce:       r.GetNonce(),
			released:    r.GetReleased(),
		})
	}
	return newBucket(l, p.GetNewest()), nil
}
