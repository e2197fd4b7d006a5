package groupcommit

import (
	"crypto/sha256"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/rpc/claimstore"
)

// digestBytes is large enough to make an accidental collision negligible. A
// collision would cause the refusal of a request that never ran.
const digestBytes = 16

// digest identifies a request key.
type digest [digestBytes]byte

// digestOf returns the digest of key. It separates the account and the
// identifier by a byte that neither of them contains.
func digestOf(key sardineknot.RequestKey) digest {
	h := sha256.Sum256([]byte(string(key.Account) + "\x00" + string(key.ID)))
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

// sameAttempt reports whether r and other belong to the same attempt.
func (r record) sameAttempt(other record) bool {
	r.released = other.released
	return r == other
}

// bucket is a set of records that are stored together.
type bucket struct {
	// records are in the order in which they took effect.
	records []record
	// byKey maps each key to the indexes of its records.
	byKey map[digest][]int
	// newest is the time of the newest record, in seconds since 1970.
	newest int64
}

// newBucket returns a bucket of the records in contents. newest is the time of
// the newest of them, in seconds since 1970.
func newBucket(contents []record, newest int64) *bucket {
	b := &bucket{records: contents, byKey: make(map[digest][]int), newest: newest}
	for i, e := range contents {
		b.byKey[e.key] = append(b.byKey[e.key], i)
	}
	return b
}

// appendRecords appends b's records of key to destination.
func (b *bucket) appendRecords(destination []record, key digest) []record {
	for _, i := range b.byKey[key] {
		destination = append(destination, b.records[i])
	}
	return destination
}

// encode returns the stored form of b, in which each incarnation of a holder
// stands once.
func (b *bucket) encode() *claimstore.Bucket {
	type process struct {
		id                sardineknot.EntryHostID
		incarnationNumber sardineknot.Incarnation
	}
	p := &claimstore.Bucket{Newest: b.newest}
	m := make(map[process]uint32)
	for _, r := range b.records {
		v := process{r.holder, r.incarnation}
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

// decodeBucket decodes message. It fails with an InvalidError if message is
// malformed.
func decodeBucket(message *claimstore.Bucket) (*bucket, error) {
	l := make([]record, 0, len(message.GetRecords()))
	for _, r := range message.GetRecords() {
		if len(r.GetKey()) != digestBytes || int(r.GetHolder()) >= len(message.GetHolders()) {
			return nil, &sardineknot.InvalidError{What: "claim record", Got: r.String(), Expected: "a digest and a known holder"}
		}
		h := message.GetHolders()[r.GetHolder()]
		l = append(l, record{
			key:         digest(r.GetKey()),
			holder:      sardineknot.EntryHostID(h.GetId()),
			incarnation: sardineknot.Incarnation(h.GetIncarnation()),
			nonce:       r.GetNonce(),
			released:    r.GetReleased(),
		})
	}
	return newBucket(l, message.GetNewest()), nil
}
