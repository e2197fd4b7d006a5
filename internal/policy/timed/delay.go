package timed

import "time"

// eventDelayWindow is the length of the current and of the previous window,
// over which delayEstimate takes the minimum.
const eventDelayWindow = 2 * time.Second

// delayEstimate estimates the delay with which job events arrive. Events show
// how much longer each transfer took than the minimum for an idle link; the
// estimate is the least of these times among recent transfers. A slow or shared
// link delays only its own transfers, whereas a delay of events affects all
// transfers.
type delayEstimate struct {
	// eventDelay is the estimate, the lesser of currentMin and previousMin.
	eventDelay time.Duration
	// currentMin and previousMin are the least delays of the current and the
	// previous window. windowEnd is the end of the current one.
	currentMin  time.Duration
	previousMin time.Duration
	windowEnd   time.Time
}

// recordTransferDelay updates the estimate with the time by which a transfer
// exceeded the minimum for an idle link. Negative times count as zero.
func (d *delayEstimate) recordTransferDelay(now time.Time, excess time.Duration) {
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
