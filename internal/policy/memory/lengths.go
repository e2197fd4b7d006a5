package memory

import (
	"math"

	"sardineknot.example/sardineknot"
)

const (
	// initialShare is the share of the longest permitted answer that is
	// predicted before any observation.
	initialShare = 0.5
	// initialSlope and initialDeviation are the slope and the residual standard
	// deviation of the regression until enough answers have ended to fit them.
	// With a slope of 1 the forecast is proportional to the caller's estimate,
	// and with a slope of 0 it does not depend on the estimate.
	initialSlope     = 0.5
	initialDeviation = 0.4
	// minWeight and maxWeight refer to lengthEstimator.weight, the number of
	// answers that the averages represent. The fitted slope and deviation
	// replace the initial ones once weight exceeds minWeight. weight never
	// exceeds maxWeight, so that old answers lose their influence.
	minWeight = 10
	maxWeight = 300
	// minDeviation is a lower bound of the residual standard deviation, so that
	// no forecast is treated as certain.
	minDeviation = 0.15
	// minEstimateVariance is a variance of the logarithms of the callers'
	// estimates. If it is not exceeded, the estimates differ too little to fit
	// a slope, and the initial slope and deviation are used.
	minEstimateVariance = 0.01
)

// lengthEstimator predicts the lengths of answers from the callers' estimates,
// by linear regression of the logarithm of the length on that of the estimate.
// An estimate far from the mean is usually wrong, so the forecast lies between
// the estimate and the mean.
type lengthEstimator struct {
	// weight is the number of answers that the averages represent, at most
	// maxWeight.
	weight float64
	// meanX and meanY are the means of the logarithms of the estimates and of
	// the lengths. varX, varY and covXY are the variances and the covariance of
	// these logarithms.
	meanX, meanY      float64
	varX, varY, covXY float64
}

// forecast is the predicted distribution of the length of an answer, in tokens:
// a log-normal distribution capped at limit. mean and deviation are those of
// the logarithm.
type forecast struct {
	mean      float64
	deviation float64
	limit     float64
}

// predict returns the forecast of the length of the answer to spec.
func (l *lengthEstimator) predict(spec sardineknot.Job) forecast {
	f := forecast{limit: float64(max(1, spec.MaxTokens)), deviation: initialDeviation}
	m, s := l.meanY, initialSlope
	if l.weight == 0 {
		m = math.Log(initialShare * f.limit)
	}
	x := l.meanX
	if l.weight == 0 {
		x = m
	}
	if l.weight > minWeight && l.varX > minEstimateVariance {
		s = math.Min(1, math.Max(0, l.covXY/l.varX))
		f.deviation = math.Sqrt(math.Max(minDeviation*minDeviation, l.varY-s*l.covXY))
	}
	f.mean = m
	if spec.ExpectedTokens > 0 {
		f.mean += s * (math.Log(float64(spec.ExpectedTokens)) - x)
	}
	return f
}

// observe updates the regression with the length of a complete answer.
func (l *lengthEstimator) observe(spec sardineknot.Job, tokens int) {
	x := math.Log(float64(max(1, spec.ExpectedTokens)))
	y := math.Log(float64(max(1, tokens)))
	l.weight = math.Min(l.weight+1, maxWeight)
	a := 1 / l.weight
	u, v := x-l.meanX, y-l.meanY
	l.meanX += a * u
	l.meanY += a * v
	l.varX += a * (u*(x-l.meanX) - l.varX)
	l.varY += a * (v*(y-l.meanY) - l.varY)
	l.covXY += a * (u*(y-l.meanY) - l.covXY)
}

// expectedTotal returns the expected total length of an answer of which the
// given number of tokens has been generated.
func (f forecast) expectedTotal(generated float64) float64 {
	if generated >= f.limit {
		return f.limit
	}
	v := f.deviation * f.deviation
	e := math.Exp(f.mean + v/2)
	if generated > 0 {
		z := (f.mean - math.Log(generated)) / f.deviation
		p := normalCDF(z)
		if p < minTail {
			return math.Min(f.limit, generated*(1+overrunShare))
		}
		e *= normalCDF(z+f.deviation) / p
	}
	return math.Min(f.limit, math.Max(generated, e))
}

// minTail is the least probability, according to the forecast, that an answer
// reaches its current length. If the probability is lower, the tail of the
// forecast is too inaccurate to be used.
const minTail = 0.02

// normalCDF returns the cumulative distribution function of the standard normal
// distribution at z.
func normalCDF(z float64) float64 { return math.Erfc(-z/math.Sqrt2) / 2 }
