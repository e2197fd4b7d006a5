package etcd

import (
	"bufio"
	"context"
	"io"

	"sardineknot.example/sardineknot"
	api "sardineknot.example/sardineknot/internal/rpc/etcd"
)

// watchBuffer is the number of entries that are buffered for a slow receiver.
const watchBuffer = 64

// Watch implements sardineknot.WatchableStore. The entry of a deleted key has a
// nil value and revision zero. Watch does not detect a connection that no
// longer responds: callers must also read the watched keys periodically.
func (c *Client) Watch(ctx context.Context, prefix string, revision sardineknot.StoreRevision) (<-chan sardineknot.StoreEntry, error) {
	q := &api.WatchRequest{CreateRequest: &api.WatchCreateRequest{
		Key:           []byte(prefix),
		RangeEnd:      prefixEnd(prefix),
		StartRevision: revision.Number + 1,
	}}
	p, err := c.post(ctx, "/v3/watch", q)
	if err != nil {
		return nil, c.wrapUnavailable(err)
	}
	e := make(chan sardineknot.StoreEntry, watchBuffer)
	go func() {
		defer close(e)
		defer p.Body.Close()
		readEvents(ctx, p.Body, e)
	}()
	return e, nil
}

// readEvents decodes events from r and sends them to e. It returns when r ends,
// a message cannot be decoded or ctx is done.
func readEvents(ctx context.Context, r io.Reader, e chan<- sardineknot.StoreEntry) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, 2*sardineknot.MaxStoreValueBytes)
	for s.Scan() {
		var w api.WatchResult
		if unmarshaler.Unmarshal(s.Bytes(), &w) != nil {
			return
		}
		for _, v := range w.GetResult().GetEvents() {
			select {
			case e <- entryOfEvent(v):
			case <-ctx.Done():
				return
			}
		}
	}
}

func entryOfEvent(v *api.Event) sardineknot.StoreEntry {
	if v.GetType() == api.Event_DELETE {
		return sardineknot.StoreEntry{Key: string(v.GetKv().GetKey())}
	}
	return entry(v.GetKv())
}
