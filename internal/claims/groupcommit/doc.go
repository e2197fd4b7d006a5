// Package groupcommit implements a ledger for the claims of unrepeatable
// requests in the platform's key-value service. It records many claims with one
// write.
//
// Requests are assigned to a fixed number of shards by a digest of their keys.
// Each shard has one head key, whose value is replaced by compare-and-swap on
// its revision. This value, the head, holds the bucket of the records that are
// not archived yet. It refers to the archives of the shard: each archive is a
// key whose value is a full bucket of older records. On each host, at most one
// write of a shard is in flight at a time; operations that arrive meanwhile
// form the next group.
//
// When the bucket in the head is full, it is moved to an archive key before the
// next group is written. The archive key contains the sequence number of the
// last head that held the bucket, and its value is exactly that bucket, so that
// two hosts that archive concurrently write the same value. An archive is part
// of the ledger only if the head refers to it. An archive to which the head
// does not refer, and whose sequence number is less than that of the head, is
// garbage: the write that would have referred to it can no longer succeed.
//
// Any host may write any shard. Operations are decided against the state at one
// revision of the head, and results are returned only after a write at that
// revision has succeeded, or after a read has found the revision unchanged. A
// late write by a host that is no longer the preferred writer or that was
// paused fails at the compare-and-swap. If the reply to a write is lost, the
// host reads the head: the head identifies the host that wrote it and the
// group. If this read fails too, the outcome is unknown. This is safe because
// operations are idempotent for each attempt.
//
// Records are kept for the retention time, counted from the newest record of
// their bucket. A request must not be claimed again after that time; the
// callers of this package reject older request identifiers.
package groupcommit
