package micros_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/peer/micros"
)

// TestDuration guards against a malformed message whose duration overflows: the time left
// until something expires would become one that has passed, or the reverse.
func TestDuration(t *testing.T) {
	is := is.New(t)
	is.Equal(micros.Duration(-1500), -1500*time.Microsecond)
	for _, n := range []int64{math.MaxInt64, math.MaxInt64 / 1000, math.MaxInt64/1000 + 1} {
		is.True(micros.Duration(n) > 50*365*24*time.Hour)
		is.True(micros.Duration(-n) < -50*365*24*time.Hour)
	}
	is.True(micros.Duration(math.MinInt64) < 0)
}
