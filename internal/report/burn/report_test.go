package burn

import (
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

func TestReport(t *testing.T) {
	window := func(fast, slow int64) sardineknot.BurnWindows {
		return sardineknot.BurnWindows{
			Account: "verk", Work: "trip-summary", Objective: 0.95,
			Fast: sardineknot.BurnCount{Total: 100, Bad: fast},
			Slow: sardineknot.BurnCount{Total: 1000, Bad: slow},
		}
	}
	t.Run("adds the counts of hosts", func(t *testing.T) {
		r := NewReport([]sardineknot.BurnWindows{window(10, 50), window(0, 50)})
		is.New(t).Equal(len(r.Rows), 1)
		assertBurn(t, r.Rows[0], 1, 1)
	})
	t.Run("marks work only if both windows burn", func(t *testing.T) {
		assertBurning(t, window(100, 0), false)
		assertBurning(t, window(0, 1000), false)
		assertBurning(t, window(100, 1000), true)
	})
	t.Run("is zero without requests", func(t *testing.T) {
		r := NewReport([]sardineknot.BurnWindows{{Account: "verk", Objective: 0.95}})
		assertBurn(t, r.Rows[0], 0, 0)
	})
}

func assertBurn(t *testing.T, r row, fast, slow float64) {
	t.Helper()
	const tolerance = 1e-9
	i := is.New(t)
	i.True(r.FastBurn-fast < tolerance && fast-r.FastBurn < tolerance)
	i.True(r.SlowBurn-slow < tolerance && slow-r.SlowBurn < tolerance)
}

func assertBurning(t *testing.T, w sardineknot.BurnWindows, want bool) {
	t.Helper()
	is.New(t).Equal(NewReport([]sardineknot.BurnWindows{w}).Burning(), want)
}
