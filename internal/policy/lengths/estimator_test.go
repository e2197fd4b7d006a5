package lengths

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// newTrainedEstimator returns an estimator that observed count answers of the
// given length.
func newTrainedEstimator(count, tokens int) *Estimator {
	e := NewEstimator()
	for range count {
		e.Observe("a", "w", tokens)
	}
	return e
}

func TestEstimator(t *testing.T) {
	t.Run("without observations lengths are uniform up to the limit", func(t *testing.T) {
		e := NewEstimator()
		is.New(t).Equal(e.Quantile("a", "w", 0.5, 800), 400)
		is.New(t).Equal(e.EndProbability("a", "w", 0, 80, 800), 0.1)
	})
	t.Run("quantiles follow the observations", func(t *testing.T) {
		n := newTrainedEstimator(100, 200).Quantile("a", "w", 0.5, 800)
		is.New(t).True(n > 150 && n < 260)
	})
	t.Run("an unknown account uses the lengths of its work across all accounts", func(t *testing.T) {
		n := newTrainedEstimator(100, 200).Quantile("b", "w", 0.5, 800)
		is.New(t).True(n > 150 && n < 260)
	})
	t.Run("longer answers are more likely to end", func(t *testing.T) {
		e := newTrainedEstimator(100, 200)
		is.New(t).True(e.EndProbability("a", "w", 10, 30, 800) < 0.01)
		is.New(t).True(e.EndProbability("a", "w", 180, 80, 800) > 0.9)
		is.New(t).Equal(e.EndProbability("a", "w", 790, 10, 800), 1.0)
	})
	t.Run("old observations lose their influence", func(t *testing.T) {
		e := newTrainedEstimator(5000, 100)
		for range 2 * halvingWeight {
			e.Observe("a", "w", 1000)
		}
		is.New(t).True(e.Quantile("a", "w", 0.5, 2000) > 800)
	})
	t.Run("the number of histograms is bounded", func(t *testing.T) {
		e := NewEstimator()
		for i := range 2 * maxGroups {
			e.Observe(sardineknot.ClientAccountName(fmt.Sprint(i)), "w", 100)
		}
		is.New(t).Equal(len(e.groups), maxGroups)
	})
}
