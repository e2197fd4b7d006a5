package groupcommit

import (
	"context"
	"sync"

	"sardineknot.example/sardineknot"
)

// storeCall is a call to the store whose outcome is not decided yet.
type storeCall struct {
	// apply makes the call take effect.
	apply func()
	// reply receives whether the caller gets a reply.
	reply chan bool
}

// network holds calls to the store until the simulation completes them.
type network struct {
	mu    sync.Mutex
	calls []storeCall
	// late holds the effects of calls that have failed for their callers but
	// may still reach the store.
	late []func()
}

// hasCalls reports whether a call waits for its outcome.
func (n *network) hasCalls() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.calls) > 0
}

// gatedStore is a fake store behind a simulated network that delays and loses
// calls.
type gatedStore struct {
	*fakeStore
	network *network
}

// await submits a call with the given effect to the network. It waits until the
// call is completed and reports whether the caller gets a reply.
func (g *gatedStore) await(effect func()) bool {
	c := storeCall{apply: effect, reply: make(chan bool)}
	g.network.mu.Lock()
	g.network.calls = append(g.network.calls, c)
	g.network.mu.Unlock()
	return <-c.reply
}

func (g *gatedStore) Get(ctx context.Context, key string) (entry sardineknot.StoreEntry, err error) {
	if !g.await(func() { entry, err = g.fakeStore.Get(ctx, key) }) {
		return sardineknot.StoreEntry{}, noReply()
	}
	return entry, err
}

func (g *gatedStore) List(ctx context.Context, prefix string) (entries []sardineknot.StoreEntry, err error) {
	if !g.await(func() { entries, err = g.fakeStore.List(ctx, prefix) }) {
		return nil, noReply()
	}
	return entries, err
}

func (g *gatedStore) CompareAndSwap(ctx context.Context, key string, expected sardineknot.StoreRevision, value []byte, lease sardineknot.LeaseID) (revision sardineknot.StoreRevision, err error) {
	if !g.await(func() { revision, err = g.fakeStore.CompareAndSwap(ctx, key, expected, value, lease) }) {
		return sardineknot.StoreRevision{}, noReply()
	}
	return revision, err
}

func (g *gatedStore) Delete(ctx context.Context, key string, expected sardineknot.StoreRevision) (err error) {
	if !g.await(func() { err = g.fakeStore.Delete(ctx, key, expected) }) {
		return noReply()
	}
	return err
}
