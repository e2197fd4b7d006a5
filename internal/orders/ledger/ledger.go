// Package ledger issues orders to engines with fencing tokens. It stores the
// tokens in the platform's key-value service.
//
// Each engine has one key, which holds the token of the last order, the host
// that issued the order, and the time for which that host may send it. An
// engine that checks fencing tokens rejects a late order itself. For an engine
// that does not, the ledger waits until the earlier order can no longer be
// sent, unless that order is known to be done. The waiting host measures this
// time by its own clock, starting when it has read the earlier token. The
// issuing host measures it by its own clock, starting before it writes the
// token. The clocks of two hosts are therefore never compared.
//
// The store may be restored from an older copy, which begins a new era, and then lacks
// records. Tokens therefore contain the era, and no order is issued in a new era
// before those of earlier eras can no longer be sent.
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
	recordKeyPrefix = "sardineknot/order/"
	// orderValidity is the time for which a host may send an order that it has
	// issued.
	orderValidity = 3 * time.Second
	// waitMargin is added to the wait until an earlier order can no longer be
	// sent. It covers the network delay of an order that was sent in time and
	// the difference in rate of two clocks.
	waitMargin = 2 * time.Second
)

// Ledger issues orders with fencing tokens. It is safe for concurrent use.
type Ledger struct {
	// SeparateHosts makes the ledger wait whenever another host issued the
	// previous order to the engine, even if that order is done or the engine
	// checks fencing tokens. Hosts whose views of the configuration or of the
	// ownership differ then do not send an engine alternating orders in quick
	// succession. SeparateHosts must be set before the first use.
	SeparateHosts bool

	store sardineknot.Store
	clock sardineknot.Clock
	self  sardineknot.EntryHost
	// sleep waits for a duration, or until the context is done.
	sleep func(context.Context, time.Duration) error
	// tokens holds what this process knows of the tokens, also if the store has
	// lost it.
	tokens tokens
	// eras records the latest era of the store.
	eras eras
}

// record is the value stored for an engine.
type record struct {
	// Number is the fencing token of the last order.
	Number sardineknot.FencingToken
	// Holder and Incarnation identify the entry host process that issued the
	// order.
	Holder      sardineknot.EntryHostID
	Incarnation sardineknot.Incarnation
	// Validity is the time for which Holder may send the order.
	Validity time.Duration
	// Done reports whether the engine has answered the order.
	Done bool
}

// NewLedger returns a ledger for the host self. sleep must wait for the
// duration, and return early with an error if the context is done.
func NewLedger(s sardineknot.Store, c sardineknot.Clock, self sardineknot.EntryHost, sleep func(context.Context, time.Duration) error) *Ledger {
	return &Ledger{store: s, clock: c, self: self, sleep: sleep}
}

// BeginEra records that the store is in era. The first order in a later era waits until
// none of the era before can arrive, which counts from this call.
func (l *Ledger) BeginEra(era sardineknot.StoreEra) { l.eras.learn(era, l.clock.Now()) }

// IssueOrder returns an order to server with a new fencing token. For an engine
// that does not check fencing tokens it first waits until every earlier order
// is done or can no longer be sent. It waits too until no order of an earlier era can
// be sent, whose record the store may have lost, and if the store has lost the record
// of an order that this process knows of, because later ones may be lost as well.
// It fails with a ConflictError if another host issued an order or the store came
// back from an older copy in the meantime, and with an UnavailableError if the
// store does not respond. If the store has nevertheless written the token, the
// token is never used.
func (l *Ledger) IssueOrder(ctx context.Context, server sardineknot.BackendServer, want sardineknot.EngineState) (sardineknot.EngineOrder, error) {
	v, r, err := l.read(ctx, server.Name)
	if err != nil {
		return sardineknot.EngineOrder{}, err
	}
	d := l.waitTime(server, v, r)
	if d > 0 {
		err = l.sleep(ctx, d)
		if err != nil {
			return sardineknot.EngineOrder{}, err
		}
	}
	t := l.clock.Now()
	v = record{Number: l.tokens.next(server.Name, r.Era), Holder: l.self.ID, Incarnation: l.self.Incarnation, Validity: orderValidity}
	err = l.write(ctx, server.Name, r, v)
	if err != nil {
		return sardineknot.EngineOrder{}, err
	}
	return sardineknot.EngineOrder{Server: server.Name, Target: want, Token: v.Number, SendBefore: t.Add(orderValidity)}, nil
}

// waitTime returns the time for which IssueOrder must wait until no earlier order can be sent
// to server. last is the record of server at revision.
func (l *Ledger) waitTime(server sardineknot.BackendServer, last record, revision sardineknot.StoreRevision) time.Duration {
	n := l.clock.Now()
	l.eras.learn(revision.Era, n)
	d := l.eras.orderWait(n)
	if l.tokens.see(server.Name, last.Number, revision.Era) {
		return max(d, last.Validity+waitMargin, orderValidity+waitMargin)
	}
	if !revision.Absent() && l.mustWait(server, last) {
		return max(d, last.Validity+waitMargin)
	}
	return d
}

// mustWait reports whether IssueOrder must wait for the order in last, the
// previous record of server: because the order may still be sent to an engine
// that does not check fencing tokens, or because SeparateHosts is set and
// another host issued the order.
func (l *Ledger) mustWait(server sardineknot.BackendServer, last record) bool {
	return l.SeparateHosts && last.Holder != l.self.ID || !server.ChecksFencing && !last.Done
}

// MarkDone records that the engine has answered order, so that the next order
// does not have to wait. It has no effect if a later order was issued.
func (l *Ledger) MarkDone(ctx context.Context, order sardineknot.EngineOrder) error {
	v, r, err := l.read(ctx, order.Server)
	if err != nil {
		return err
	}
	l.tokens.see(order.Server, v.Number, r.Era)
	if !l.issued(v, order) || v.Done {
		return nil
	}
	v.Done = true
	return l.write(ctx, order.Server, r, v)
}

// issued reports whether value is the record of order, issued by this process.
// If the store has lost that record, another host may have used the token again.
func (l *Ledger) issued(value record, order sardineknot.EngineOrder) bool {
	return value.Number == order.Token && value.Holder == l.self.ID && value.Incarnation == l.self.Incarnation
}

// read returns the record of an engine and its revision, which tells
// whether there is a record.
func (l *Ledger) read(ctx context.Context, server sardineknot.BackendServerName) (record, sardineknot.StoreRevision, error) {
	e, err := l.store.Get(ctx, recordKeyPrefix+string(server))
	if err != nil || e.Revision.Absent() {
		return record{}, e.Revision, err
	}
	var v record
	err = json.Unmarshal(e.Value, &v, codec.Durations())
	return v, e.Revision, errors.WithStack(err)
}

// write stores the record of an engine. It fails with a ConflictError if the
// store revision of the record no longer equals seen.
func (l *Ledger) write(ctx context.Context, server sardineknot.BackendServerName, seen sardineknot.StoreRevision, value record) error {
	b, err := json.Marshal(value, codec.Durations())
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = l.store.CompareAndSwap(ctx, recordKeyPrefix+string(server), seen, b, sardineknot.LeaseID{})
	return err
}
