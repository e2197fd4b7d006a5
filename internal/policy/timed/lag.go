package timed

import "time"

// lagWindow is the time over which the least delay is taken.
const lagWindow = 2 * time.Second

// lag estimates how late events arrive: by the least time that any transfer
// took beyond what it takes on an idle link. A slow or shared link delays its
// own transfers only, but late events delay all.
type lag struct {
	// delay is the estimate. It is the lesser of those of the present and the
	// previous window.
	delay time.Duration
	// present and previous are the least delays of two windows. ends is the
	// end of the present one.
	present  time.Duration
	previous time.Duration
	ends     time.Time
}

// observe takes the time that a transfer took beyond the least possible.
func (l *lag) observe(now time.Time, excess time.Duration) {
	excess = max(0, excess)
	if now.Before(l.ends) {
		l.present = min(l.present, excess)
	} else {
		l.previous = l.present
		if now.After(l.ends.Add(lagWindow)) {
			l.previous = excess
		}
		l.present = excess
		l.ends = now.Add(lagWindow)
	}
	l.delay = min(l.present, l.previous)
}
