// Package boottime provides a clock that also advances while the host is suspended.
// The monotonic clock of the Go runtime does not, so that a permission seems fresh
// after a suspension, and the wall clock may be set.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"

	"sardineknot.example/sardineknot"
)

// Clock is a sardineknot.Clock that counts from the start of the host's operating
// system, as if that were the beginning of 1970. Its times are comparable with each
// other only. The zero value is ready to use.
type Clock struct{}

var _ sardineknot.Clock = Clock{}

// Now implements sardineknot.Clock. It panics if the operating system lacks
// CLOCK_BOOTTIME.
func (Clock) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return time.Unix(t.Unix()).UTC()
}
