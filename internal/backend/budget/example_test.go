package budget_test

import (
	"fmt"

	"sardineknot.example/sardineknot/internal/backend/budget"
)

func ExampleBudget() {
	b := budget.NewBudget(0.5, 2)
	fmt.Println(b.AllowRetry(), b.AllowRetry(), b.AllowRetry())
	b.RecordCall()
	b.RecordCall()
	fmt.Println(b.AllowRetry(), b.AllowRetry())
	// Output:
	// true true false
	// true false
}
