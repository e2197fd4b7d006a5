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
package events
