package refused_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/platform/refused"
)

// TestSet guards against an entry that is reported each time it is written, and against
// a flood of entries that fills the memory.
func TestSet(t *testing.T) {
	t.Run("a key is new once, and again after it was removed", func(t *testing.T) {
		is := is.New(t)
		var s refused.Set
		is.True(!s.Remove("a"))
		is.True(s.Add("a"))
		is.True(!s.Add("a"))
		is.True(s.Remove("a"))
		is.True(s.Add("a"))
	})
	t.Run("bounded", func(t *testing.T) {
		is := is.New(t)
		var s refused.Set
		n := 0
		for i := range 100_000 {
			if s.Add(fmt.Sprint("k", i)) {
				n++
			}
		}
		is.True(n > 0 && n < 10_000)
		is.True(s.Remove("k0"))
		is.True(s.Add("new"))
	})
}
