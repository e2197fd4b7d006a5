package openai

import (
	"strings"
	"sync"

	"sardineknot.example/sardineknot"
)

// finds is what one look at the engines found. It is safe for concurrent use.
type finds struct {
	mu sync.Mutex
	// seen holds what is held for nobody.
	seen map[orphan]bool
	// skipped holds the engines that did not answer.
	skipped map[sardineknot.BackendServerName]bool
}

func (f *finds) add(o orphan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen[o] = true
}

func (f *finds) skip(n sardineknot.BackendServerName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.skipped == nil {
		f.skipped = make(map[sardineknot.BackendServerName]bool)
	}
	f.skipped[n] = true
}

// jobKey returns the key of the job that h belongs to.
func jobKey(h sardineknot.HeldRequest) (sardineknot.RequestKey, bool) {
	a, i, ok := strings.Cut(h.EngineKey, "/")
	return sardineknot.RequestKey{Account: sardineknot.ClientAccountName(a), ID: sardineknot.RequestID(i)}, ok
}
