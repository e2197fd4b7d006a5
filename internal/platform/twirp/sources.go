package twirp

import (
	"context"
	"slices"

	"sardineknot.example/sardineknot"
)

// setPeers records the followers of list. If they have changed, the first one
// is asked next.
func (f *Feed) setPeers(list []sardineknot.EntryHost) {
	n := make([]sardineknot.EntryHostID, 0, len(list))
	for _, h := range list {
		n = append(n, h.ID)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Equal(n, f.peers) {
		return
	}
	f.peers, f.current = n, 0
}

func (f *Feed) currentPeer(list []sardineknot.EntryHost) sardineknot.EntryHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return list[f.current%len(list)]
}

func (f *Feed) nextPeer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current++
}

// mayAskStore reports whether the last call to the service was at least
// storeInterval ago, and if so records a call. Before the first answer, it also
// requires that FirstStoreWait has passed.
func (f *Feed) mayAskStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.Clock.Now()
	if !f.answered && f.FirstStoreWait != nil && n.Sub(f.startedAt) < f.FirstStoreWait() {
		return false
	}
	if n.Sub(f.storeAskedAt) < storeInterval {
		return false
	}
	f.storeAskedAt = n
	return true
}

// setSource records and logs that peer, or the service if peer is empty, has
// answered.
func (f *Feed) setSource(peer sardineknot.EntryHostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered = true
	clear(f.failed)
	if f.source == peer {
		return
	}
	f.source = peer
	if peer != "" && f.turned != nil {
		close(f.turned)
		f.turned = nil
	}
	f.Log.Info().Stringer("event", sardineknot.LogStoreSource).Str("peer", string(peer)).Bool("direct", peer == "").Dur("view_ms", f.ageLocked()).Send()
}

// currentSource returns the follower that answered last. It is empty if the service itself
// did.
func (f *Feed) currentSource() sardineknot.EntryHostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source
}

// followsDirectly reports whether the last answer came from the service.
func (f *Feed) followsDirectly() bool { return f.currentSource() == "" }

// whileDirect returns a context that is done with ctx or as soon as this host reads from
// a follower.
func (f *Feed) whileDirect(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source != "" {
		cancel()
		return ctx, cancel
	}
	if f.turned == nil {
		f.turned = make(chan struct{})
	}
	t := f.turned
	go func() {
		select {
		case <-t:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
