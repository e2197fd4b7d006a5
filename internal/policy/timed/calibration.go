package timed

import "time"

const (
	// calibrationWeight is the weight of the latest period in the moving
	// average calibration.ratio.
	calibrationWeight = 0.3
	// minRatio is the lower bound of calibration.ratio.
	minRatio = 0.3
)

// calibration compares the predicted number of slots that become free with the
// actual number, so that predictions from too few observations are reduced.
type calibration struct {
	// ratio is the factor, in [minRatio, 1], by which predicted numbers of
	// slots are multiplied.
	ratio float64
	// expected and freed are the predicted and the actual number of slots that
	// become free in the current period, which began at periodStart and lasts
	// rateHorizon.
	expected    float64
	freed       int
	periodStart time.Time
}

// calibrate returns the corrected value of expected, the number of slots that
// was predicted at time now to become free within rateHorizon. If the current
// period is over, calibrate first updates the ratio and starts a new period with
// this prediction.
func (c *calibration) calibrate(now time.Time, expected float64) float64 {
	if now.Sub(c.periodStart) >= rateHorizon {
		if now.Sub(c.periodStart) < 2*rateHorizon && c.expected > 1 {
			r := min(1, float64(c.freed)/c.expected)
			c.ratio += calibrationWeight * (r - c.ratio)
		}
		c.periodStart, c.expected, c.freed = now, expected, 0
	}
	c.ratio = max(minRatio, c.ratio)
	return expected * c.ratio
}
