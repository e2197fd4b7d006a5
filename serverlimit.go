package sardineknot

import (
	"context"
	"time"
)

// ServerLimit is the number of requests that a backend server takes from all
// entry hosts together.
type ServerLimit struct {
	// PerSecond is the number of requests a second. Zero means that the server
	// names no limit.
	PerSecond float64
	// At is the time of the answer that named the limit, or named none.
	At time.Time
}

// ServerLimiter keeps the requests of all entry hosts to a backend server within
// the limit that the server has named. Implementations are safe for concurrent
// use.
type ServerLimiter interface {
	// Admit takes the permission for one request to server. It returns zero if the
	// request may be sent now, and otherwise the time after which to try again.
	Admit(ctx context.Context, server BackendServer) time.Duration
	// Limited reports whether server has named a limit.
	Limited(server BackendServer) bool
}
