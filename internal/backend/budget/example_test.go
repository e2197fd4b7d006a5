package budget_test

import (
	"fmt"

	"sardineknot.example/sardineknot/internal/backend/budget"
)

func ExampleBudget() {
	b := budget.NewBudget(0.5, 2)
	fmt.Println(b.Retry(), b.Retry(), b.Retry())
	b.First()
	b.First()
	fmt.Println(b.Retry(), b.Retry())
	// Output:
	// true true false
	// true false
}
