// Package ledger hands out fencing numbers for orders to engines, through the
// platform's key-value service.
//
// Each engine has one key with its last number and how long the holder of that
// number may send its order. An engine that checks numbers refuses a late
// order by itself. For one that does not, Take waits until the earlier
// holder's time is over, unless the earlier order is known to be done. The
// time is measured from the moment at which the earlier number was read, by
// the reader's own clock, so that no two clocks are compared. A holder counts
// its time from before its write.
package ledger

import (
	"context"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/codec"
)

const (
	keyPrefix = "sardineknot/order/"
	// validity is the time for which a holder may send its order.
	validity = 3 * time.Second
	// margin is added to a wait for the transport of an order that was sent
	// in time, and for the difference in rate of two clocks.
	margin = 2 * time.Second
)

// Ledger hands out numbers. It is safe for concurrent use.
type Ledger struct {
	// Apart has Take wait as long after any order of another host to the same
	// engine, so that hosts do not take turns. It is set before use.
	Apart bool

	store sardineknot.Store
	clock sardineknot.Clock
	self  sardineknot.EntryHost
	// sleep waits for a duration or the end of a context.
	sleep func(context.Context, time.Duration) error
}

// record is the stored value.
type record struct {
	// Number is that of the last order.
	Number sardineknot.FencingNumber
	// Holder and Incarnation took Number.
	Holder      sardineknot.EntryHostID
	Incarnation sardineknot.Incarnation
	// Validity is how long the holder may send the order.
	Validity time.Duration
	// Done reports that the engine has answered the order.
	Done bool
}

// NewLedger returns a ledger for the host self. sleep waits for a duration and
// returns early with an error if the context ends.
func NewLedger(s sardineknot.Store, c sardineknot.Clock, self sardineknot.EntryHost, sleep func(context.Context, time.Duration) error) *Ledger {
	return &Ledger{store: s, clock: c, self: self, sleep: sleep}
}

// Take returns an order to s with a new number. For an engine that ignores
// numbers it returns after every earlier order is done or can no longer be
// sent. It fails with a ConflictError if another host took a number meanwhile,
// and with an UnavailableError if the store does not answer; the number is
// lost then.
func (l *Ledger) Take(ctx context.Context, s sardineknot.BackendServer, w sardineknot.EngineState) (sardineknot.Order, error) {
	v, r, err := l.read(ctx, s.Name)
	if err != nil {
		return sardineknot.Order{}, err
	}
	if r != 0 && l.mustWait(s, v) {
		err = l.sleep(ctx, v.Validity+margin)
		if err != nil {
			return sardineknot.Order{}, err
		}
	}
	t := l.clock.Now()
	v = record{Number: v.Number + 1, Holder: l.self.ID, Incarnation: l.self.Incarnation, Validity: validity}
	err = l.write(ctx, s.Name, r, v)
	if err != nil {
		return sardineknot.Order{}, err
	}
	return sardineknot.Order{Server: s.Name, Want: w, Number: v.Number, SendBefore: t.Add(validity)}, nil
}

// mustWait reports whether an earlier order to s, of which v tells, may still
// be sent, or whether an order now would take turns with another host's.
func (l *Ledger) mustWait(s sardineknot.BackendServer, v record) bool {
	return l.Apart && v.Holder != l.self.ID || !s.ChecksFencing && !v.Done
}

// Done notes that the engine has answered o, so that the next order need not
// wait. It has no effect if a later number was taken.
func (l *Ledger) Done(ctx context.Context, o sardineknot.Order) error {
	v, r, err := l.read(ctx, o.Server)
	if err != nil || v.Number != o.Number || v.Done {
		return err
	}
	v.Done = true
	return l.write(ctx, o.Server, r, v)
}

func (l *Ledger) read(ctx context.Context, n sardineknot.BackendServerName) (record, sardineknot.StoreRevision, error) {
	e, err := l.store.Get(ctx, keyPrefix+string(n))
	if err != nil || e.Revision == 0 {
		return record{}, 0, err
	}
	var v record
	err = json.Unmarshal(e.Value, &v, codec.Durations())
	return v, e.Revision, errors.WithStack(err)
}

func (l *Ledger) write(ctx context.Context, n sardineknot.BackendServerName, seen sardineknot.StoreRevision, v record) error {
	b, err := json.Marshal(v, codec.Durations())
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = l.store.CompareAndSwap(ctx, keyPrefix+string(n), seen, b, 0)
	return err
}
