// Package micros converts the durations in messages between entry hosts, which are
// numbers of microseconds.
package micros

import (
	"math"
	"time"
)

// maxCount bounds the durations, so that a malformed message yields a long time and
// not, by an overflow, one of the other sign. It leaves room for sums of a few of them.
const maxCount = int64(math.MaxInt64 / 4 / time.Microsecond)

// Duration returns the duration of count microseconds, which is at most 73 years in
// either direction.
func Duration(count int64) time.Duration {
	return time.Duration(min(max(count, -maxCount), maxCount)) * time.Microsecond
}
