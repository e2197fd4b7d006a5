package memory

import (
	"math"

	"sardineknot.example/sardineknot"
)

const (
	// defaultShare is the part of the longest answer that is expected before
	// anything is known.
	defaultShare = 0.5
	// firstSlope and firstDeviation describe answers before any has ended: how
	// much of a deviation of the caller's estimate from the mean is true, and
	// the standard deviation of the logarithm of the length beside it.
	firstSlope     = 0.5
	firstDeviation = 0.4
	// firstWeight is the number of answers that the first values count for,
	// and memoryWeight the number of answers that is remembered.
	firstWeight  = 10
	memoryWeight = 300
	// minDeviation keeps forecasts from being certain.
	minDeviation = 0.15
	// minSpread is the variance of the estimates below which the slope stays.
	minSpread = 0.01
)

// lengths forecasts the lengths of answers from the callers' estimates, by a
// linear regression of the logarithm of the length on that of the estimate. An
// estimate far from the mean is mostly wrong, so that the forecast lies between
// the two.
type lengths struct {
	// weight is the number of answers that the sums stand for. It is at most
	// memoryWeight.
	weight float64
	// The means of the logarithms of estimates and lengths, and their central
	// moments.
	meanX, meanY     float64
	varX, varY, both float64
}

// forecast is the distribution of the length of an answer: the logarithm is
// normal, and the length is at most longest.
type forecast struct {
	mean      float64
	deviation float64
	longest   float64
}

// expect returns the forecast for j.
func (l *lengths) expect(j sardineknot.Job) forecast {
	f := forecast{longest: float64(max(1, j.MaxTokens)), deviation: firstDeviation}
	m, s := l.meanY, firstSlope
	if l.weight == 0 {
		m = math.Log(defaultShare * f.longest)
	}
	x := l.meanX
	if l.weight == 0 {
		x = m
	}
	if l.weight > firstWeight && l.varX > minSpread {
		s = math.Min(1, math.Max(0, l.both/l.varX))
		f.deviation = math.Sqrt(math.Max(minDeviation*minDeviation, l.varY-s*l.both))
	}
	f.mean = m
	if j.ExpectedTokens > 0 {
		f.mean += s * (math.Log(float64(j.ExpectedTokens)) - x)
	}
	return f
}

// observe takes the length of a whole answer.
func (l *lengths) observe(j sardineknot.Job, tokens int) {
	x := math.Log(float64(max(1, j.ExpectedTokens)))
	y := math.Log(float64(max(1, tokens)))
	l.weight = math.Min(l.weight+1, memoryWeight)
	a := 1 / l.weight
	u, v := x-l.meanX, y-l.meanY
	l.meanX += a * u
	l.meanY += a * v
	l.varX += a * (u*(x-l.meanX) - l.varX)
	l.varY += a * (v*(y-l.meanY) - l.varY)
	l.both += a * (u*(y-l.meanY) - l.both)
}

// total returns the expected length of an answer of which g tokens exist.
func (f forecast) total(g float64) float64 {
	if g >= f.longest {
		return f.longest
	}
	v := f.deviation * f.deviation
	e := math.Exp(f.mean + v/2)
	if g > 0 {
		z := (f.mean - math.Log(g)) / f.deviation
		p := normal(z)
		if p < minTail {
			return math.Min(f.longest, g*(1+overrunShare))
		}
		e *= normal(z+f.deviation) / p
	}
	return math.Min(f.longest, math.Max(g, e))
}

// minTail is the probability below which the tail of a forecast is not used.
const minTail = 0.02

// normal returns the distribution function of the standard normal
// distribution.
func normal(z float64) float64 { return math.Erfc(-z/math.Sqrt2) / 2 }
