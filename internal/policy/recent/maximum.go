// Package recent keeps statistics of what was observed lately.
package recent

import "time"

// window is the time for which an observation counts at least. It counts for twice that time
// at most.
const window = 30 * time.Second

// Maximum is the largest recent duration of a kind. The zero value has observed none. It is
// not safe for concurrent use.
type Maximum struct {
	// begunAt is the time at which the current window began. It is zero before the first
	// observation.
	begunAt time.Time
	// current and previous are the largest durations in the current window and in the one
	// before.
	current, previous time.Duration
}

// Record records duration, which was observed at time now.
func (m *Maximum) Record(now time.Time, duration time.Duration) {
	m.advance(now)
	m.current = max(m.current, duration)
}

// Value returns the largest recent duration. It returns false if there is none.
func (m *Maximum) Value(now time.Time) (time.Duration, bool) {
	if m.begunAt.IsZero() || now.Sub(m.begunAt) >= 2*window {
		return 0, false
	}
	if now.Sub(m.begunAt) >= window {
		return m.current, true
	}
	return max(m.current, m.previous), true
}

// advance begins a window if the current one has ended.
func (m *Maximum) advance(now time.Time) {
	d := now.Sub(m.begunAt)
	switch {
	case m.begunAt.IsZero() || d >= 2*window:
		*m = Maximum{begunAt: now}
	case d >= window:
		*m = Maximum{begunAt: now, previous: m.current}
	}
}
