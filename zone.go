package sardineknot

// AvailabilityZone names a failure domain within a region, such as
// "reykjavik-a". The empty string is not a valid zone.
type AvailabilityZone string

// Region names a group of availability zones that are connected by links with
// low delay, such as "is-land".
type Region string
