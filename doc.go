// Package sardineknot defines the domain types and interfaces of a request
// router for separate prefill and decode pools.
//
// The types mirror the deployment: availability zones, entry hosts, backend
// servers, links, client accounts and their contracts. The interfaces name the
// behavior that varies; their implementations live under internal, in packages
// named after the peer or protocol that they speak to.
//
// All types of this package are plain values. Those that are shared between
// goroutines, such as Configuration, are immutable after construction.
package sardineknot
