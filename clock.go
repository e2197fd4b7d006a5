package sardineknot

import "time"

// Clock gives the time. Code that decides takes a Clock and never reads the
// global one.
type Clock interface {
	// Now returns the present time.
	Now() time.Time
}
