package sardineknot

import "time"

// Clock provides the current time. Code whose decisions depend on the time
// takes a Clock instead of calling time.Now.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}
