package twirp_test

import (
	"fmt"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	for _, x := range []float64{0.5, 1, 1.3, 2} {
		for _, alone := range []bool{true, false} {
			run(t, 86, alone, func(t *testing.T, f *fleet) {
				r := f.load(t.Context(), 4*time.Second, 500*x)
				fmt.Println(x, alone, fmt.Sprintf("%+v", r), f.messages, f.bytes)
			})
		}
	}
}
