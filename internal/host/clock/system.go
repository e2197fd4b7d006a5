// Package clock gives the time of the operating system.
package clock

import "time"

// System is a sardineknot.Clock. The zero value is ready to use.
type System struct{}

// Now implements sardineknot.Clock.
func (System) Now() time.Time { return time.Now() }
