package bucket_test

import (
	"fmt"
	"time"

	"sardineknot.example/sardineknot/internal/limits/bucket"
)

func ExampleBucket() {
	now := time.Unix(0, 0)
	b := bucket.NewBucket(2, 3, now) // two per second, at most three at once
	fmt.Println(b.Level(now), b.Wait(1, now))
	now = now.Add(5 * time.Second)
	b.Take(4, now)
	fmt.Println(b.Level(now), b.Wait(1, now))
	b.Return(9, now)
	fmt.Println(b.Level(now))
	// Output:
	// 0 500ms
	// -1 1s
	// 3
}
