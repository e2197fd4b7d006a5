package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"sardineknot.example/sardineknot"
)

// SinceBoot returns the time since the machine was started, including the time for
// which it was suspended. Steps of the wall clock do not affect it.
func (System) SinceBoot() time.Duration {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	if err != nil {
		panic(err) // CLOCK_BOOTTIME exists since Linux 2.6.39
	}
	return time.Duration(t.Nano())
}

// SinceBootClock returns a clock that shows SinceBoot as the time since 1970. It serves
// permissions that must expire also while the machine is suspended: the monotonic reading
// of time.Now does not count that time. Its times must not be compared with others.
func (System) SinceBootClock() sardineknot.Clock { return sinceBootClock{} }

// sinceBootClock implements sardineknot.Clock.
type sinceBootClock struct{}

// Now implements sardineknot.Clock.
func (sinceBootClock) Now() time.Time { return time.Unix(0, int64(System{}.SinceBoot())) }
