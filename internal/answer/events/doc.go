// Package events relays generations to engines and streams their server-sent
// events to callers. It serves the entry host in package gateway; package
// generation is the counterpart for the entry host in package process.
//
// Every attempt first acquires a prefill engine and a decode engine. The
// prefill engine computes the KV cache of the prompt, and the decode engine
// imports it. If the cache is lost in between, the decode engine prefills the
// prompt itself. An engine that is leaving, or that has asked this host for no
// requests for some time, gets nothing: its grant is given back.
//
// On a resumable route, a stream that breaks off continues on another engine
// after its last complete event, so that the caller sees one uninterrupted
// answer. While an engine is silent, another one is prepared; the stream moves
// when that one has sent an event, and stays otherwise.
//
// All engines number the events of a stream alike, with increasing numbers that may
// leave gaps. If the numbers that were relayed are consecutive from 1, or from the one
// that a caller resumed after, the next engine must go on with the next number. A gap
// there, a stream that ends before the last event that the caller has, and an event
// without a number are failures of the attempt: another engine is tried, and if there
// is none, the answer breaks off and does not look complete. If the numbers have left
// gaps themselves, a gap between two engines shows nothing, and neither does one between
// the caller's last event and the first one of the answer, since the numbers before are
// unknown to this host. A gap within the response of one engine is relayed, because a
// connection loses nothing of what the engine has sent. A stream whose last event has no
// number, or none above zero, does not go on at another engine: it could not begin after
// that event.
package events
