package chain

import (
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
)

// Shards is the number of shards. Every host uses the same number; another
// number makes another, empty ledger.
const Shards = 16

const (
	defaultRetention     = time.Hour
	defaultWriteInterval = 100 * time.Millisecond
	defaultBucketRecords = 256
	defaultRefusal       = 500 * time.Millisecond
	// idleTime is the time after which the state of a shard is dropped.
	idleTime = 2 * time.Minute
)

// Ledger is a sardineknot.ClaimLedger that writes to the store itself. It is
// safe for concurrent use. Exported fields are set before use.
type Ledger struct {
	// Retention is the time for which a claim is kept. Zero means one hour.
	Retention time.Duration
	// WriteInterval is the least time between the starts of two writes of a
	// shard. Zero means 100 ms.
	WriteInterval time.Duration
	// BucketRecords is the number of records from which on a bucket is
	// archived. Zero means 256.
	BucketRecords int
	// Refusal is the time for which claims are refused without a call after
	// the store did not answer. Zero means 500 ms.
	Refusal time.Duration

	store     sardineknot.Store
	clock     sardineknot.Clock
	self      sardineknot.EntryHost
	recorded  metrics.Counter
	writes    metrics.Counter
	conflicts metrics.Counter
	shards    [Shards]shard
}

var _ sardineknot.ClaimLedger = (*Ledger)(nil)

// NewLedger returns a ledger that writes to s in the name of the host self. It
// counts in the metrics claims.recorded, claims.writes and claims.conflicts of
// r.
func NewLedger(s sardineknot.Store, c sardineknot.Clock, self sardineknot.EntryHost, r metrics.Registry) *Ledger {
	l := &Ledger{
		store:     s,
		clock:     c,
		self:      self,
		recorded:  metrics.GetOrRegisterCounter("claims.recorded", r),
		writes:    metrics.GetOrRegisterCounter("claims.writes", r),
		conflicts: metrics.GetOrRegisterCounter("claims.conflicts", r),
	}
	for i := range l.shards {
		l.shards[i].ledger = l
		l.shards[i].prefix = fmt.Sprintf("sardineknot/claims/%d/%02d/", Shards, i)
	}
	return l
}

// Claim implements sardineknot.ClaimLedger.
func (l *Ledger) Claim(ctx context.Context, a sardineknot.ClaimAttempt) (sardineknot.ClaimResult, error) {
	return l.submit(ctx, a, false)
}

// Release implements sardineknot.ClaimLedger. A claim of the same attempt that
// reaches the store later is not granted.
func (l *Ledger) Release(ctx context.Context, a sardineknot.ClaimAttempt) error {
	_, err := l.submit(ctx, a, true)
	return err
}

// Run drops the state of shards that this host stopped writing, until ctx is
// done.
func (l *Ledger) Run(ctx context.Context) error {
	t := time.NewTicker(idleTime)
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

// Shard returns the name of the shard of k, for a sardineknot.Ranker.
func Shard(k sardineknot.RequestKey) string {
	return fmt.Sprintf("claim/%d", number(digestOf(k)))
}

func (l *Ledger) submit(ctx context.Context, a sardineknot.ClaimAttempt, release bool) (sardineknot.ClaimResult, error) {
	d := digestOf(a.Key)
	o := operation{
		record: record{
			key:         d,
			holder:      a.Holder,
			incarnation: a.HolderIncarnation,
			nonce:       a.Nonce,
			released:    release,
		},
		done: make(chan outcome, 1),
	}
	l.shards[number(d)].submit(o)
	select {
	case r := <-o.done:
		return r.result, r.err
	case <-ctx.Done():
		return sardineknot.ClaimResult{}, unavailable(ctx.Err())
	}
}

func number(d digest) uint64 {
	return binary.BigEndian.Uint64(d[:]) % Shards
}

func unavailable(err error) error {
	return errors.WithStack(&sardineknot.UnavailableError{Peer: "claim ledger", Cause: err})
}

func orDefault[T int | time.Duration](v, standard T) T {
	if v == 0 {
		return standard
	}
	return v
}
