// Package memory is the scheduler for engines whose memory is scarcer than
// their slots.
//
// An answer takes memory for its prompt and for every token that it has
// generated, so that a decode engine that looks half empty may run out of
// memory a second later and preempt answers in their middle. The scheduler
// forecasts the memory of each decode engine up to the end of all its answers
// and admits a job only where the forecast fits. The room is reserved before the
// prefill starts, so that its result is used at once.
//
// A job that does not fit waits in the router. While its first event can still
// be in time it goes before jobs that are late already; after that it waits for
// what the others leave. A job that cannot be served before its caller gives up
// is refused at once, with a time at which room is expected.
package memory
