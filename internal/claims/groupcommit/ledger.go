package groupcommit

import (
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
)

// ShardCount is the number of shards. All hosts must use the same number; with
// a different number, a host uses a different, empty ledger.
const ShardCount = 16

const (
	defaultRetention     = time.Hour
	defaultWriteInterval = 100 * time.Millisecond
	defaultBucketRecords = 256
	defaultStoreBackoff  = 500 * time.Millisecond
	// idleTimeout is the time without operations after which this host drops
	// its cached state of a shard.
	idleTimeout = 2 * time.Minute
)

// Ledger is a sardineknot.ClaimLedger that writes to the store directly. It is
// safe for concurrent use. The exported fields must be set before use.
type Ledger struct {
	// Retention is the time for which claims are kept. Zero means one hour.
	Retention time.Duration
	// WriteInterval is the minimum time between the starts of two writes of a
	// shard. Zero means 100 ms.
	WriteInterval time.Duration
	// MaxBucketRecords is the number of records that the bucket in the head
	// must hold to be archived. Zero means 256.
	MaxBucketRecords int
	// StoreBackoff is the time after a failed call to the store during which
	// operations of the shard fail immediately, without another call. Zero
	// means 500 ms.
	StoreBackoff time.Duration

	store     sardineknot.Store
	clock     sardineknot.Clock
	self      sardineknot.EntryHost
	recorded  metrics.Counter
	writes    metrics.Counter
	conflicts metrics.Counter
	shards    [ShardCount]shard
}

var _ sardineknot.ClaimLedger = (*Ledger)(nil)

// NewLedger returns a ledger that writes to s on behalf of the host self. It
// registers the metrics claims.recorded, claims.writes and claims.conflicts in
// registry.
func NewLedger(s sardineknot.Store, c sardineknot.Clock, self sardineknot.EntryHost, registry metrics.Registry) *Ledger {
	l := &Ledger{
		store:     s,
		clock:     c,
		self:      self,
		recorded:  metrics.GetOrRegisterCounter("claims.recorded", registry),
		writes:    metrics.GetOrRegisterCounter("claims.writes", registry),
		conflicts: metrics.GetOrRegisterCounter("claims.conflicts", registry),
	}
	for i := range l.shards {
		l.shards[i].ledger = l
		l.shards[i].prefix = fmt.Sprintf("sardineknot/claims/%d/%02d/", ShardCount, i)
	}
	return l
}

// Claim implements sardineknot.ClaimLedger.
func (l *Ledger) Claim(ctx context.Context, attempt sardineknot.ClaimAttempt) (sardineknot.ClaimResult, error) {
	return l.submit(ctx, attempt, false)
}

// Release implements sardineknot.ClaimLedger. A claim of the same attempt that
// reaches the store after the release is not granted.
func (l *Ledger) Release(ctx context.Context, attempt sardineknot.ClaimAttempt) error {
	_, err := l.submit(ctx, attempt, true)
	return err
}

// Run drops the cached state of shards that this host no longer writes, until
// ctx is done.
func (l *Ledger) Run(ctx context.Context) error {
	t := time.NewTicker(idleTimeout)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
		for i := range l.shards {
			l.shards[i].dropIdle(l.clock.Now())
		}
	}
}

// ShardName returns the name of key's shard, for use with a sardineknot.Ranker.
func ShardName(key sardineknot.RequestKey) string {
	return fmt.Sprintf("claim/%d", shardIndex(digestOf(key)))
}

// submit hands the claim of attempt, or its release, to its shard and waits for
// the outcome. If ctx is done first, the operation may still take effect.
func (l *Ledger) submit(ctx context.Context, attempt sardineknot.ClaimAttempt, release bool) (sardineknot.ClaimResult, error) {
	d := digestOf(attempt.Key)
	o := operation{
		record: record{
			key:         d,
			holder:      attempt.Holder,
			incarnation: attempt.HolderIncarnation,
			nonce:       attempt.Nonce,
			released:    release,
		},
		done: make(chan outcome, 1),
	}
	l.shards[shardIndex(d)].submit(o)
	select {
	case r := <-o.done:
		return r.result, r.err
	case <-ctx.Done():
		return sardineknot.ClaimResult{}, newUnavailableError(ctx.Err())
	}
}

// shardIndex returns the index of the shard of key in Ledger.shards.
func shardIndex(key digest) uint64 {
	return binary.BigEndian.Uint64(key[:]) % ShardCount
}

func newUnavailableError(cause error) error {
	return errors.WithStack(&sardineknot.UnavailableError{Peer: "claim ledger", Cause: cause})
}

// orDefault returns value, or fallback if value is zero.
func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
