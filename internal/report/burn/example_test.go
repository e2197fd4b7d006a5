package burn_test

import (
	"fmt"
	"os"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/report/burn"
)

func ExampleReport() {
	r := burn.NewReport([]sardineknot.BurnWindows{
		{Account: "verk", Work: "trip-summary", Objective: 0.95, Fast: sardineknot.BurnCount{Total: 80, Bad: 4}, Slow: sardineknot.BurnCount{Total: 900, Bad: 9}},
		{Account: "verk", Work: "trip-summary", Objective: 0.95, Fast: sardineknot.BurnCount{Total: 20, Bad: 6}, Slow: sardineknot.BurnCount{Total: 100, Bad: 6}},
	})
	if err := r.WriteTable(os.Stdout); err != nil {
		fmt.Println(err)
	}
	fmt.Println(r.Burning())
	// Output:
	// ACCOUNT  WORK          OBJECTIVE  FAST BAD/ALL  FAST BURN  SLOW BAD/ALL  SLOW BURN  BURNING
	// verk     trip-summary  0.95       10/100        2.00       15/1000       0.30       false
	// false
}
