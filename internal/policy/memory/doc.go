// Package memory implements the scheduler for engines that run out of memory
// before they run out of slots. It schedules the jobs of the entry host in
// package gateway.
//
// An answer occupies memory for its prompt and for every token generated so
// far, so a decode engine that is half empty now can exhaust its memory a
// second later and preempt running answers. The scheduler forecasts the memory
// use of each decode engine until all its answers have ended, and admits a job
// only if the forecast stays within the engine's memory. It reserves that
// memory before the prefill starts, so that the prefill's result can be used
// immediately.
//
// A job that does not fit waits in the queue. Jobs whose first event can still
// meet its deadline are placed first; retries after a refusal and resumed
// answers get the memory that remains. A job that cannot start before its
// latest start time is refused, with a time after which the caller may retry
// and memory is expected to be free.
package memory
