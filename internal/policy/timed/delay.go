package timed

import "time"

// eventDelayWindow is the length of the time windows of a delayEstimate, which
// takes the minimum over the transfers in the current and the previous window.
const eventDelayWindow = 2 * time.Second

// delayEstimate estimates the delay with which job events arrive at the
// scheduler. The events of a job show by how much the transfer of its KV cache
// exceeded the minimum for an idle link. The least such excess among recent
// transfers is the estimate: a slow or shared link delays only its own
// transfers, whereas a delay of events affects all transfers.
type delayEstimate struct {
	// eventDelay is the estimated delay of job events. It is the lesser of
	// currentMin and previousMin.
	eventDelay time.Duration
	// currentMin and previousMin are the least excess times of the transfers in
	// the current and in the previous window. windowEnd is the end of the
	// current window.
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
