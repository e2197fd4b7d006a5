// Package chain keeps the claims of unrepeatable requests in the platform's
// key-value service, many claims in one write.
//
// Requests are spread over a fixed number of shards by a digest of their keys.
// A shard has one head key, whose value is replaced by compare-and-swap on its
// revision. The value holds the recent records in full and names the archived
// buckets of older ones. One write of a shard is in flight at a time on a
// host; operations that arrive meanwhile form the next group.
//
// A head that is full moves its bucket to an archive key before the next group
// is written. The archive key carries the sequence number of the head that
// held the bucket last, and its content is exactly that bucket, so that two
// hosts which archive at once write the same value. An archive takes part only
// if a head names it. An archive that no head names and whose sequence is less
// than the head's is garbage: the write that would have named it fails.
//
// Any host may write any shard. Decisions are made against the state at one
// revision of the head and told only after a write at that revision succeeded,
// or after a read found the revision unchanged. The late write of a host that
// lost its rank, or was paused, fails at the compare-and-swap. A write whose
// reply is lost is resolved by reading the head back: it carries the writer's
// identity and group number. If that fails too, the outcome is unknown, which
// is harmless, since a repeated operation of the same attempt is idempotent.
//
// Records are kept for the retention, counted from the last record of their
// bucket. A request must not be claimed again after that time; the callers of
// this package refuse identifiers that are older.
package chain
