package sardineknot

import "time"

// Link is a network path between two availability zones. A link applies in
// both directions.
type Link struct {
	// From and To are the ends. They may be equal for the path within a zone.
	From AvailabilityZone
	To   AvailabilityZone
	// Delay is the one-way delay. It is not negative.
	Delay time.Duration
	// BytesPerSecond is the rate at which KV cache moves. Zero means
	// unlimited.
	BytesPerSecond int64
}
