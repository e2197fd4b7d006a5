package bucket_test

import (
	"fmt"
	"time"

	"sardineknot.example/sardineknot/internal/limits/bucket"
)

func ExampleBucket() {
	now := time.Unix(0, 0)
	b := bucket.NewBucket(2, 3, now) // two permits per second, at most three at once
	fmt.Println(b.Take(5, now), b.Wait(now))
	now = now.Add(time.Second)
	fmt.Println(b.Take(5, now))
	b.Return(1, now)
	fmt.Println(b.Take(5, now))
	// Output:
	// 3 500ms
	// 2
	// 1
}
