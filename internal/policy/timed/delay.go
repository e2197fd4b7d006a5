package timed

import "time"

// eventDelayWindow is the length of the windows over which the minimum delay is
// taken.
const eventDelayWindow = 2 * time.Second

// delayEstimate estimates how late events arrive, as the least time by which
// any recent transfer exceeded the minimum for an idle link. A slow or shared
// link delays only its own transfers, whereas a delay of events affects all of
// them.
type delayEstimate struct {
	// eventDelay is the estimate, the lesser of currentMin and previousMin.
	eventDelay time.Duration
	// currentMin and previousMin are the least delays of the current and the
	// previous window. windowEnd is the end of the current one.
	currentMin  time.Duration
	previousMin time.Duration
	windowEnd   time.Time
}

// recordExcess updates the estimate with the time that a transfer took beyond
// the minimum for an idle link.
func (d *delayEstimate) recordExcess(now time.Time, excess time.Duration) {
	excess = max(0, excess)
	if now.Before(d.windowEnd) {
		d.currentMin = min(d.currentMin, excess)
	} else {
		d.previousMin = d.currentMin
		if now.After(d.windowEnd.Add(eventDelayWindow)) {
			d.previousMin = excess
		}
		d.currentMin = excess
		d.windowEnd = now.Add(eventDelayWindow)
	}
	d.eventDelay = min(d.currentMin, d.previousMin)
}
