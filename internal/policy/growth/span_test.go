package growth_test

import (
	"fmt"

	"sardineknot.example/sardineknot/internal/policy/growth"
)

// The second answer ends last, but the peak is reached at the end of the first.
func ExamplePeak() {
	l := []growth.Span{{InUse: 5000, Remaining: 1000}, {InUse: 200, Remaining: 4000}}
	fmt.Println(growth.Peak(l))
	fmt.Println(growth.Peak(nil))
	// Output:
	// 7200
	// 0
}
