package memory

import "sardineknot.example/sardineknot"

// defaultShare is the part of the longest answer that is expected while the
// caller gives no estimate.
const defaultShare = 0.5

// lengths forecasts the lengths of answers.
type lengths struct{}

// expect returns the forecast length of the answer to j, in tokens.
func (l *lengths) expect(j sardineknot.Job) float64 {
	if j.ExpectedTokens <= 0 {
		return defaultShare * float64(j.MaxTokens)
	}
	return min(float64(j.ExpectedTokens), float64(j.MaxTokens))
}

// observe takes the length of a whole answer.
func (l *lengths) observe(sardineknot.Job, int) {}
