package twirp

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
	rpc "sardineknot.example/sardineknot/internal/rpc/versions"
	"sardineknot.example/sardineknot/internal/versions/store"
)

const (
	// recorderKey is what hosts are ranked by as recorders.
	recorderKey = "streams/"
	// batchDelay is the time for which a host gathers records before it sends them.
	batchDelay = 10 * time.Millisecond
	// retryDelay is the time after which it sends those again that were not written.
	retryDelay = 500 * time.Millisecond
	// recorderTimeout bounds a call to a recorder, which gathers records and writes
	// them to the key-value service before it answers.
	recorderTimeout = 1300 * time.Millisecond
	// avoidTime is the time for which a host sends nothing to a recorder that has
	// failed, and triedRecorders the number of recorders to which it sends a batch.
	avoidTime      = 5 * time.Second
	triedRecorders = 2
	// maxOutbox bounds the records that wait. Further ones stay in memory only.
	maxOutbox = 32768
)

// outbox holds the records of streams of mixed services that are to be written to the
// key-value service.
type outbox struct {
	mu sync.Mutex
	// mixed lists the versions of mixed services, and era is the era of the service
	// in which records were written.
	mixed []sardineknot.SoftwareVersion
	era   sardineknot.StoreEra
	// records holds versions by the hash of the stream's identifier.
	records map[uint64]sardineknot.SoftwareVersion
	// avoided holds the times until which recorders are avoided.
	avoided map[sardineknot.EntryHostID]time.Time
	// wake receives an element when there are records.
	wake chan struct{}
}

// add adds a record.
func (o *outbox) add(hash uint64, version sardineknot.SoftwareVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.records == nil {
		o.records = make(map[uint64]sardineknot.SoftwareVersion)
	}
	if len(o.records) < maxOutbox {
		o.records[hash] = version
	}
}

// take removes all records.
func (o *outbox) take() map[uint64]sardineknot.SoftwareVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	m := o.records
	o.records = nil
	return m
}

// isMixed reports whether version is one of a mixed service.
func (d *Directory) isMixed(version sardineknot.SoftwareVersion) bool {
	d.outbox.mu.Lock()
	defer d.outbox.mu.Unlock()
	return slices.Contains(d.outbox.mixed, version)
}

// recordBatch adds a record with the given hash to the outbox if version is one of a mixed
// service.
func (d *Directory) recordBatch(hash uint64, version sardineknot.SoftwareVersion) {
	if d.isMixed(version) {
		d.outbox.add(hash, version)
		d.notify(d.outbox.wake)
	}
}

// movedVersions returns the versions of the services of routes that were split in another way
// lately, as far as they differ. The identifiers of their streams do not select the service
// that began them.
func (d *Directory) movedVersions() []sardineknot.SoftwareVersion {
	var o []sardineknot.SoftwareVersion
	n := d.Clock.Now().Add(-d.streamTime())
	for _, s := range d.routes.moved(n) {
		l, _ := d.versionsOf(s)
		if len(l) > 1 {
			o = union(o, l)
		}
	}
	return o
}

// refreshOutbox adds all records of services that have become mixed or are moved, and those of
// all mixed services if the key-value service was restored from an older copy.
func (d *Directory) refreshOutbox() {
	l, e := d.Keeper.Mixed()
	l = union(l, d.movedVersions())
	d.outbox.mu.Lock()
	var a []sardineknot.SoftwareVersion
	for _, v := range l {
		if e > d.outbox.era || !slices.Contains(d.outbox.mixed, v) {
			a = append(a, v)
		}
	}
	d.outbox.mixed, d.outbox.era = l, e
	d.outbox.mu.Unlock()
	if len(a) == 0 {
		return
	}
	d.records.each(d.Clock.Now().Add(-d.streamTime()), func(n sardineknot.RequestID, v sardineknot.SoftwareVersion) {
		if slices.Contains(a, v) {
			d.outbox.add(store.StreamHash(n), v)
		}
	})
	d.notify(d.outbox.wake)
}

// sendBatches sends the records of the outbox to a recorder until ctx is done. A batch
// does not wait for the ones before it. It always returns nil.
func (d *Directory) sendBatches(ctx context.Context) error {
	for {
		select {
		case <-d.outbox.wake:
		case <-ctx.Done():
			return nil
		}
		if !pause(ctx, batchDelay) {
			return nil
		}
		m := d.outbox.take()
		if len(m) > 0 {
			go d.sendBatch(ctx, m)
		}
	}
}

// sendBatch sends records to the recorders. If none has written them, they return to the
// outbox.
func (d *Directory) sendBatch(ctx context.Context, records map[uint64]sardineknot.SoftwareVersion) {
	err := d.write(ctx, records)
	if err == nil || ctx.Err() != nil {
		return
	}
	for n, v := range records {
		d.outbox.add(n, v)
	}
	if pause(ctx, retryDelay) {
		d.notify(d.outbox.wake)
	}
}

// errNoRecorder reports that no host is known to which records may be sent.
var errNoRecorder = errors.New("no host is known")

// write sends records to the recorders that rank first, one after the other until one has
// written them. It fails with an UnavailableError if none has.
func (d *Directory) write(ctx context.Context, records map[uint64]sardineknot.SoftwareVersion) error {
	q, err := encode(records), errNoRecorder
	for _, h := range d.recorders() {
		err = d.sendToRecorder(ctx, h, q)
		if err == nil || ctx.Err() != nil {
			break
		}
		d.Log.Debug().Stringer("event", sardineknot.LogVersionNotSent).Int("records", len(records)).Str("peer", string(h.ID)).Err(err).Send()
		d.avoid(h.ID)
	}
	if err == nil {
		return nil
	}
	return errors.WithStack(&sardineknot.UnavailableError{Peer: "recorders of stream versions", Cause: err})
}

// sendToRecorder makes host write the records of request.
func (d *Directory) sendToRecorder(ctx context.Context, host sardineknot.EntryHost, request *rpc.RecordBatchRequest) error {
	ctx, cancel := context.WithTimeout(ctx, recorderTimeout)
	defer cancel()
	if host.ID == d.Members.Self().ID {
		return d.Keeper.Write(ctx, request)
	}
	_, err := d.client(host).RecordBatch(ctx, request)
	return errors.WithStack(err)
}

// recorders returns the hosts to which the next batch is sent, in the order in which
// they are tried. Hosts that have failed lately are passed over: those that are
// paused, that cannot write, or of an earlier build. If all have, the first ones are
// tried again.
func (d *Directory) recorders() []sardineknot.EntryHost {
	l := rendezvous.Strongest(d.Members.Hosts())
	slices.SortFunc(l, func(a, b sardineknot.EntryHost) int {
		return cmp.Compare(rendezvous.Weight(recorderKey, b.ID), rendezvous.Weight(recorderKey, a.ID))
	})
	n := d.Clock.Now()
	d.outbox.mu.Lock()
	defer d.outbox.mu.Unlock()
	a := slices.DeleteFunc(slices.Clone(l), func(h sardineknot.EntryHost) bool { return n.Before(d.outbox.avoided[h.ID]) })
	if len(a) == 0 {
		a = l
	}
	return a[:min(triedRecorders, len(a))]
}

// avoid sends nothing to the recorder id for a while.
func (d *Directory) avoid(id sardineknot.EntryHostID) {
	d.outbox.mu.Lock()
	defer d.outbox.mu.Unlock()
	if d.outbox.avoided == nil {
		d.outbox.avoided = make(map[sardineknot.EntryHostID]time.Time)
	}
	d.outbox.avoided[id] = d.Clock.Now().Add(avoidTime)
}

// encode returns the message for records.
func encode(records map[uint64]sardineknot.SoftwareVersion) *rpc.RecordBatchRequest {
	q := &rpc.RecordBatchRequest{}
	for n, v := range records {
		i := slices.Index(q.Versions, string(v))
		if i < 0 {
			i = len(q.Versions)
			q.Versions = append(q.Versions, string(v))
		}
		q.Streams, q.Indexes = append(q.Streams, n), append(q.Indexes, uint32(i))
	}
	return q
}

// pause waits for duration, and reports whether ctx is not done.
func pause(ctx context.Context, duration time.Duration) bool {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
