// Package micros converts the durations in messages between entry hosts, which are
// numbers of microseconds.
package micros

import "time"

// Duration returns the duration of count microseconds.
func Duration(count int64) time.Duration { return time.Duration(count) * time.Microsecond }
