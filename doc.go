// Package sardineknot defines the domain types and interfaces of a request
// router for language model engines that run prefill and decode in separate
// pools.
//
// The types model the deployment: availability zones, entry hosts, backend
// servers, links, client accounts and their contracts. The interfaces cover
// behavior that has several implementations or that tests replace. Their
// implementations are in packages under internal, named after the peer, the
// protocol or the algorithm that they use.
//
// The data types of this package are plain values. Those that are shared
// between goroutines, such as Configuration, are immutable after construction.
package sardineknot
