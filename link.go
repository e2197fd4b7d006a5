package sardineknot

import "time"

// Link describes the network path between two availability zones, in both
// directions.
type Link struct {
	// From and To are the zones that the link connects. They are equal for the
	// network within a zone.
	From AvailabilityZone
	To   AvailabilityZone
	// Delay is the one-way delay. It is not negative.
	Delay time.Duration
	// BytesPerSecond is the transfer rate for KV caches. Zero means unlimited.
	BytesPerSecond int64
}
