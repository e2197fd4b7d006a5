package timed

import "time"

const (
	// calibrationGain is the weight of a new second in the ratio.
	calibrationGain = 0.3
	// leastRatio bounds the correction.
	leastRatio = 0.3
)

// calibration compares the number of slots that were expected to become free
// with the number that did, so that estimates from too few observations are
// not trusted.
type calibration struct {
	// ratio is the correction of expected numbers, in [leastRatio, 1].
	ratio float64
	// expected and freed are the numbers for the present second, which began
	// at since.
	expected float64
	freed    int
	since    time.Time
}

// correct takes the expected number of a second that begins at now and returns
// the corrected one.
func (c *calibration) correct(now time.Time, expected float64) float64 {
	if now.Sub(c.since) >= horizon {
		if now.Sub(c.since) < 2*horizon && c.expected > 1 {
			r := min(1, float64(c.freed)/c.expected)
			c.ratio += calibrationGain * (r - c.ratio)
		}
		c.since, c.expected, c.freed = now, expected, 0
	}
	c.ratio = max(leastRatio, c.ratio)
	return expected * c.ratio
}
